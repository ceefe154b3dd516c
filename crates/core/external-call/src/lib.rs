//! The life of a call about which a proxy consults the gateway and which the proxy itself dispatches. What the
//! proxy tells and what the owner wants go in; what the owner is to hear and what the proxy is to do come out. No
//! input or output; time is an argument, and the key that signs tickets is handed in.
//!
//! What is truly known of a dispatch that somebody else carries out is little, and no more is ever claimed:
//!
//! - Before a verdict is written, nothing ran.
//! - Once it is written, the dispatch may have run until the proxy says how it ended.
//! - A stream that ends without a response leaves it in doubt, however late the verdict was: the proxy may have read
//!   it at the last moment. A proxy that fails open may have sent the request on by itself even without one.
//! - Work that must not run twice is given no second verdict while the first is in doubt, whether the doubt is
//!   remembered here, stands in a ticket, or is only told by the proxy's count of attempts.

mod call;
mod ticket;

pub use call::{AttemptToken, CallAction, CallConfig, CallRequest, CallResponse, ExternalCalls, StreamId};
pub use ticket::{ContinuationToken, SigningKey, TokenError};
