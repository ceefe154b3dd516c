//! Parsers and writers of the wire's messages: bytes to typed values and back, each in one place. Pure: no socket is
//! used here. Each module maps the wire's words to the code's terms in a table at its top.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod json;
pub mod statement;
