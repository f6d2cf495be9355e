//! writes the code generated from the schema: `cargo run -p chalkcart-protocol --example generate -- [DIR]`

use {anyhow::Result, std::path::PathBuf};

fn main() -> Result<()> {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| package.join("src/gen"), PathBuf::from);
    let proto = package.join("proto");
    let schema = proto.join("chalkcart/v1/chalkcart.proto");
    let files = protox::compile([schema], [proto])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
