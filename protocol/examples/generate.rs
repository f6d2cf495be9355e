//! Generates the code of the schema: `cargo run -p chalkcart-protocol --example generate`

use {
    anyhow::Result,
    std::path::{Path, PathBuf},
};

#[allow(dead_code)]
fn main() -> Result<()> {
    generate(&generated_folder())
}

/// Returns the folder of the committed generated code.
pub fn generated_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gen")
}

/// Generates the code into a folder.
pub fn generate(out: &Path) -> Result<()> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let schema = proto.join("chalkcart/v1/chalkcart.proto");
    let files = protox::compile([schema], [proto])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
