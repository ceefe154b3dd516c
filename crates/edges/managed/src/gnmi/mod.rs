//! The gNMI 0.10 server, on tonic. It converts paths, values and status codes between gNMI and the model. The package
//! `lemonusher-store` plans and validates commits, and `lemonusher-watch` detects changes for subscriptions. `service`
//! dispatches calls to `get`, `set` and `subscribe`, which use `paths`, `values` and `status`; nothing is imported in
//! the other direction.

mod get;
mod paths;
mod service;
mod set;
mod status;
mod subscribe;
mod values;

/// The messages and extensions, generated from proto files with the field numbers of the gNMI specification.
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
pub use values::{parse_typed_value, to_typed_value};
