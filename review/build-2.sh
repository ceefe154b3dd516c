#!/bin/sh
# Builds what the cases 6 to 10 start, besides the programs of the deploy file's build. Needs no network after that build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
