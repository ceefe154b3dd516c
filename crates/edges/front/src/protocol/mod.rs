//! Parsers and writers of the messages: bytes to small typed values and back, each once. Pure; no socket is
//! known here.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod json;
pub mod statement;
