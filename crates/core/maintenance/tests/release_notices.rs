//! The coordinator notifies only of releases that it has read under its lease.

mod common;

use common::{ms, version};
use lemonusher_maintenance::*;

const REGISTER: u8 = 0;
const MACHINE: Machine = 7;

fn released() -> MaintenanceRequest {
    let mut request = MaintenanceRequest::new("ann", 1, 1, 600, &[MACHINE]);
    request.machines[0].phase = Phase::Released { fencing_token: 3 };
    request
}

fn notice() -> Notice {
    Notice::Released { request: REGISTER, machine: MACHINE, fencing_token: 3 }
}

/// Guards against notices of a release that has ended since it was read under an earlier lease.
#[test]
fn release_is_told_only_once_its_register_has_been_read_under_the_lease() {
    let mut coordinator = MaintenanceCoordinator::default();
    coordinator.handle_request(ms(0), REGISTER, version(1, 1), released());
    coordinator.set_lease(Some(3));
    assert_eq!(coordinator.released(), []);
    let read = VersionedRequest { version: version(1, 1), request: released() };
    coordinator.handle_committed(ms(10), REGISTER, Some(read.clone()));
    assert_eq!(coordinator.released(), [notice()]);
    // A change whose outcome is unknown may have ended the release.
    coordinator.handle_failure(REGISTER);
    assert_eq!(coordinator.released(), []);
    coordinator.handle_committed(ms(20), REGISTER, Some(read));
    assert_eq!(coordinator.released(), [notice()]);
    // Under another lease it is read again.
    coordinator.set_lease(Some(5));
    assert_eq!(coordinator.released(), []);
    assert!(coordinator.is_active_under(Some(5)));
    assert!(!coordinator.is_active_under(Some(3)) && !coordinator.is_active_under(None));
    coordinator.set_lease(None);
    assert!(!coordinator.is_active_under(None));
}
