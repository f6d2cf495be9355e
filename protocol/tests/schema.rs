//! The committed generated code must match the schema.

#[path = "../examples/generate.rs"]
mod generate;

use {
    anyhow::Result,
    std::{env, fs, process},
};

const FILE: &str = "chalkcart.v1.rs";

#[test]
fn the_generated_code_matches_the_schema() -> Result<()> {
    let out = env::temp_dir().join(format!("chalkcart-schema-{}", process::id()));
    fs::create_dir_all(&out)?;
    generate::generate(&out)?;
    let fresh = fs::read_to_string(out.join(FILE))?;
    let committed = fs::read_to_string(generate::generated_folder().join(FILE))?;
    fs::remove_dir_all(&out)?;
    assert!(
        fresh == committed,
        "run the example `generate` and commit its output"
    );
    Ok(())
}
