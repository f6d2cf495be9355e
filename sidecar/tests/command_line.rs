//! Tests the command line and the settings of `chalkcart-sidecar`.

use {
    anyhow::Result,
    chalkcart_testkit::commands::{run_program, settings_file, ProgramOutput},
    std::{fs, path::Path},
};

fn sidecar(args: &[&str]) -> Result<ProgramOutput> {
    run_program(Path::new(env!("CARGO_BIN_EXE_chalkcart-sidecar")), args)
}

#[test]
fn help_version_and_invalid_arguments() -> Result<()> {
    let help = sidecar(&["--help"])?;
    assert_eq!(help.code, Some(0));
    assert!(help.stdout.contains("Usage: chalkcart-sidecar"));
    assert!(sidecar(&["--version"])?
        .stdout
        .starts_with("chalkcart-sidecar "));
    assert_eq!(sidecar(&[])?.code, Some(2));
    assert_eq!(sidecar(&["--fast"])?.code, Some(2));
    Ok(())
}

#[test]
fn rejected_settings_name_the_key_the_value_and_the_expected_value() -> Result<()> {
    const VALID: &str = r#"{"name":"s","zone":"posta","listen":"127.0.0.1:0",
        "entries":["127.0.0.1:1"],"target":{"engine":{"addr":"127.0.0.1:2"}}}"#;
    let service = r#"{"service":{"addr":"127.0.0.1:2","service":"till","max_running":0}}"#;
    let cases = [
        (VALID.to_string(), 0, vec!["good"]),
        (
            VALID.replace("engine", "motor"),
            2,
            vec!["target", "motor", "service"],
        ),
        (
            VALID.replace(r#"["127.0.0.1:1"]"#, "[]"),
            2,
            vec!["entries", "[]", "one address"],
        ),
        (
            VALID.replace(r#"{"engine":{"addr":"127.0.0.1:2"}}"#, service),
            2,
            vec!["target.service.max_running", "0", "1 or more"],
        ),
        (
            VALID.replace(r#""name":"s""#, r#""name":"s","lease_ms":0"#),
            2,
            vec!["lease_ms", "1 or"],
        ),
    ];
    for (text, code, expected) in cases {
        let file = settings_file(&text)?;
        let ran = sidecar(&["--check", &file.to_string_lossy()])?;
        fs::remove_file(file)?;
        assert_eq!(ran.code, Some(code), "{text}");
        let output = format!("{}{}", ran.stdout, ran.stderr);
        for part in expected {
            assert!(output.contains(part), "{text}: {part} not in {output}");
        }
    }
    Ok(())
}
