//! gNMI 0.10, on tonic. Paths, values and status codes are translated here; what they mean is the store's and the watch's
//! to say. Imports go one way: `service` forwards to `get`, `set` and `subscribe`, which use `paths`, `values` and
//! `status`.

mod get;
mod paths;
mod service;
mod set;
mod status;
mod subscribe;
mod values;

/// The messages and their extensions, as the public specification numbers them.
#[allow(clippy::all, missing_docs)]
pub mod proto {
    /// The package `gnmi`.
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    /// The package `gnmi_ext`.
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

pub use paths::{from_place, to_steps};
pub use service::serve;
pub use set::{EXPECTED_VERSION_KEY, EXTENSION_ID};
pub use values::{typed, untyped};
