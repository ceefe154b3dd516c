//! Which engines may be used. The endpoint list and the managers' desired state meet in one table by a written rule,
//! and admission limits reject requests of a class that has too many open. Nothing here does input or output or reads
//! a clock; all times count from the caller's origin.
//!
//! The rule, for each engine:
//!
//! 1. The list alone says whether an engine is there, draining or removed, where it stands and when it started. A
//!    manager can't make a draining or unknown engine ready.
//! 2. An engine belongs to each pool all of whose criteria it meets (an empty criterion is met).
//!    The strictest administrative state among its pools holds; in no pool, it is enabled.
//! 3. An engine in pools that name request classes serves those that any of them names; else it serves all.
//! 4. An engine that managers withdraw is blocked, not forgotten: the gateway still knows its start, its faults and its
//!    slow start, so that an engine enabled again is as warm as it really is.
//! 5. What the fleet's plan restricts ([`ZoneRestriction`]) is blocked as well, and opened again by the plan alone; so is
//!    an engine out of service for maintenance, and every engine while a front does not know yet which ones are.
//! 6. Withdrawing takes effect with the event that brings it, within any drain grace. Attempts in flight run to their
//!    end where the engine is draining; a disabled engine's idempotent attempts are recalled.

#![warn(missing_docs)]

mod admission;
mod desired_state;
mod endpoint_table;
mod pools;

pub use admission::{AdmissionLimiter, Limit};
pub use desired_state::{DesiredState, EngineAdmission};
pub use endpoint_table::{EndpointChange, EndpointStatus, EndpointTable, ZoneRestriction};
pub use pools::{AdminState, Pool};
