//! Determines which engines may be used. One table merges the endpoint list with the desired state set by
//! management clients, and admission limits reject requests of a class that has too many open requests. This
//! package does no input or output and reads no clock. A time is a duration since an origin that the caller
//! chooses.
//!
//! The rules, for each engine:
//!
//! 1. The endpoint list alone determines whether an engine is active, draining or removed, its zone, cell and
//!    kind of machine, and its start time. The desired state can't make a draining or unknown engine active.
//! 2. An engine belongs to each pool whose criteria it meets in full (an empty criterion is met). The strictest
//!    administrative state among its pools applies; an engine in no pool is enabled.
//! 3. If any of its pools name request classes, an engine serves the classes that at least one of them names;
//!    otherwise it serves all.
//! 4. An engine that the desired state drains or disables is blocked but not forgotten: the gateway keeps its
//!    start time, faults and slow start, so that an engine that is enabled again gets the slow-start factor
//!    that matches its real state.
//! 5. Engines and request classes that the failover plan restricts ([`ZoneRestriction`]) are blocked as well, and
//!    only the plan unblocks them. So are engines out of service for maintenance, and all engines as long as the
//!    front does not know which ones are out of service.
//! 6. Blocking takes effect with the event that causes it, and therefore within any drain grace. Attempts in
//!    flight at a draining engine run to their end; idempotent attempts at a disabled engine are recalled.

#![warn(missing_docs)]

mod admission;
mod desired_state;
mod endpoint_table;
mod pools;

pub use admission::{AdmissionLimiter, Limit};
pub use desired_state::{DesiredState, EngineAdmission};
pub use endpoint_table::{EndpointChange, EndpointStatus, EndpointTable, ZoneRestriction};
pub use pools::{AdminState, Pool};
