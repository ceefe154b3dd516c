//! Which engines may be used. The command channel's list and the managers' wishes meet in one table by a
//! written rule, and limits at the door hold back a request class that asks for too much at once. Nothing here
//! does input or output or reads a clock; all spans count from the caller's origin.
//!
//! The rule, for each engine:
//!
//! 1. The list alone says whether an engine is there, leaving or gone, where it stands and when it started. A
//!    manager can't make a leaving or unknown engine ready.
//! 2. An engine belongs to each pool all of whose criteria it meets (a criterion that names nothing is met).
//!    The strictest administrative state among its pools holds; in no pool, it is enabled.
//! 3. An engine in pools that name request classes serves those that any of them names; else it serves all.
//! 4. What is withdrawn is barred, not forgotten: its start, its faults and what it bore while cold stay known
//!    to the gateway, so that an engine enabled again is as warm as it really is.
//! 5. What the fleet's plan closes ([`Closure`]) is barred as well, and opened again by the plan alone; so is what is out
//!    for work, and everything while a front does not know yet what is.
//! 6. Withdrawing takes effect with the event that tells it, within any drain grace. Work that is out goes to
//!    its end where the engine is draining; a disabled engine's repeatable work is recalled.

mod admission;
mod endpoint_table;
mod pools;

pub use admission::{AdmissionLimiter, Limit};
pub use endpoint_table::{EndpointChange, EndpointStatus, EndpointTable, ZoneRestriction};
pub use pools::{AdminState, DesiredState, EngineAdmission, Pool};
