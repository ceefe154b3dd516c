//! Computes the notifications of gNMI subscriptions and the times at which they are due. A [`Watch`] is given
//! the current tree and time, keeps the state that it has sent, and returns the notifications that are due. It
//! does no input or output, reads no clock and encodes no protocol. A time is a duration since an origin that
//! the caller chooses.
//!
//! The rules, for each subscription:
//!
//! 1. A sample is due at each sample interval, a heartbeat at each heartbeat interval, and a change as soon as
//!    it is seen. Missed intervals are skipped. A heartbeat sends the whole state, changed or not; each
//!    one that is due before the next sample of its subscription replaces that sample.
//! 2. A sample sends the whole state, or only the changes if redundant updates are suppressed.
//! 3. The subscriber's room is the number of updates and deletes that it can take now. A notification that does not
//!    fit the room is not sent, not even in part. A sample that is not sent is lost, and its updates and deletes
//!    are counted. A change that does not fit is counted as lost when it is seen. Once there is room, the state at
//!    that time is sent; intermediate states are not.

#![warn(missing_docs)]

mod leaves;
mod subscription;
mod watch;

pub use leaves::{Leaves, Value, leaves};
pub use subscription::{Notification, Subscription, SubscriptionMode, Update};
pub use watch::Watch;
