//! The gRPC status codes for errors of the model and the store.

use lemonusher_model::{Fault, FaultKind};
use lemonusher_store::StoreError;
use tonic::Status;

/// The status for a store error.
pub(super) fn store_status(error: &StoreError) -> Status {
    let text = error.to_string();
    match error {
        StoreError::UnknownSession => Status::internal(text),
        StoreError::TooManySessions | StoreError::TooManyFollowUps => Status::resource_exhausted(text),
        StoreError::Locked(_) | StoreError::Busy | StoreError::Conflict(_) | StoreError::Stale { .. } => {
            Status::aborted(text)
        }
        StoreError::Pending(_)
        | StoreError::NothingPending
        | StoreError::NotLocked
        | StoreError::Modified => Status::failed_precondition(text),
        StoreError::NoVersion(_) | StoreError::NoStartup => Status::not_found(text),
        StoreError::Faults(faults) => faults.first().map_or_else(|| Status::internal(text), fault_status),
        StoreError::Failed(_) => Status::aborted(text),
    }
}

/// The status for data that does not fit the model.
pub(super) fn fault_status(fault: &Fault) -> Status {
    let text = fault.to_string();
    match fault.kind {
        FaultKind::UnknownElement | FaultKind::DataMissing => Status::not_found(text),
        FaultKind::DataExists => Status::already_exists(text),
        _ => Status::invalid_argument(text),
    }
}
