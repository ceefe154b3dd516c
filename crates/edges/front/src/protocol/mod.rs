//! Parsers and encoders of the wire protocols. Pure functions between bytes and typed values, without I/O. The
//! module of each protocol starts with a table that maps the names on the wire to the terms of the code.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod json;
pub mod statement;
