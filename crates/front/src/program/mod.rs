//! Start-up, limits, signals, counters, log, and the sessions that put the protocol before the owner.

mod channel;
mod clients;
mod engines;
mod shared;
pub mod start;
