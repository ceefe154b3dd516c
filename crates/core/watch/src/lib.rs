//! What a subscriber is to be sent, and when, by the terms of gNMI. A [`Watch`] is shown trees and the time; it remembers
//! what it has sent and returns what is due. No input or output, no clock, no protocol; times count from the caller's
//! origin.
//!
//! The rule, for each subscription:
//!
//! 1. A sample is due at each interval, a heartbeat at each heartbeat interval, a change as soon as it is seen. Intervals
//!    that were missed are skipped. A heartbeat sends everything, changed or not.
//! 2. A sample sends everything, or only what has changed where redundant updates are suppressed.
//! 3. A subscriber without room for a whole notification is sent nothing of it. Samples are lost and counted. Of changes
//!    the ones in between are lost and counted; the last state is sent once there is room.

#![warn(missing_docs)]

mod leaves;
mod subscription;
mod watch;

pub use leaves::{Leaves, Value, leaves};
pub use subscription::{Notification, Subscription, SubscriptionMode, Update};
pub use watch::Watch;
