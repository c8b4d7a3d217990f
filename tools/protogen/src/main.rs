//! Generates `crates/fleet/src/generated` from `proto/fleet.proto`.
//!
//! Run from the repository root: `cargo run --manifest-path tools/protogen/Cargo.toml`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/fleet.proto"], ["proto"])?;
    std::fs::create_dir_all("crates/fleet/src/generated")?;
    tonic_prost_build::configure()
        .bytes(".")
        .build_transport(false)
        .out_dir("crates/fleet/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
