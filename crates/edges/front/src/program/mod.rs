//! Start-up, limits, signals, counters, log, and the sessions that put the protocol before the owner.

mod clients;
mod descriptor_limits;
mod discovery;
mod engines;
pub mod external_processing;
mod shared;
pub mod start;
