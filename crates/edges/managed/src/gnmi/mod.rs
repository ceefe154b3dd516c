//! gNMI 0.10, on tonic. Paths, values and codes are translated here; what they mean is the store's and the
//! watch's to say.

mod paths;
mod service;
mod subscribe;
mod values;

/// The messages and their extensions, as the public specification numbers them.
#[allow(clippy::all)]
pub mod proto {
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

pub use paths::{from_place, to_steps};
pub use service::{EXPECTED_VERSION_KEY, EXTENSION_ID, serve};
pub use values::{typed, untyped};
