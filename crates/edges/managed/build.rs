//! Generates the gNMI message types from the proto files with protox, so that no protoc is needed.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["gnmi.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
