//! The command line and the settings of `chalkcart`.

use {
    anyhow::Result,
    chalkcart_testkit::commands::{run_program, settings_file, ProgramOutput},
    std::{fs, path::Path},
};

const COMMANDS: [&str; 9] = [
    "serve", "ingress", "explain", "check", "status", "plan", "wait", "call", "generate",
];

fn chalkcart(args: &[&str]) -> Result<ProgramOutput> {
    run_program(Path::new(env!("CARGO_BIN_EXE_chalkcart")), args)
}

fn check(text: &str) -> Result<ProgramOutput> {
    let file = settings_file(text)?;
    let ran = chalkcart(&["check", &file.to_string_lossy()])?;
    fs::remove_file(file)?;
    Ok(ran)
}

#[test]
fn program_and_each_command_print_help_and_version() -> Result<()> {
    let help = chalkcart(&["--help"])?;
    assert_eq!(help.code, Some(0));
    for command in COMMANDS {
        assert!(help.stdout.contains(command), "{command}");
        let command_help = chalkcart(&[command, "--help"])?;
        assert_eq!(command_help.code, Some(0), "{command}");
        assert!(
            command_help
                .stdout
                .contains(&format!("Usage: chalkcart {command}")),
            "{command}"
        );
        let version = chalkcart(&[command, "--version"])?;
        assert!(version.stdout.starts_with("chalkcart "), "{command}");
    }
    assert!(chalkcart(&["--version"])?.stdout.starts_with("chalkcart "));
    Ok(())
}

#[test]
fn usage_errors_exit_with_2_and_suggest_help() -> Result<()> {
    let cases: [&[&str]; 6] = [
        &[],
        &["explain"],
        &["fly"],
        &["serve"],
        &["serve", "--fast"],
        &["wait", "a"],
    ];
    for args in cases {
        let ran = chalkcart(args)?;
        assert_eq!(ran.code, Some(2), "{args:?}");
        assert!(ran.stderr.contains("Try '"), "{args:?}: {}", ran.stderr);
    }
    Ok(())
}

#[test]
fn invalid_settings_are_rejected_with_key_value_and_expectation() -> Result<()> {
    const GOOD: &str =
        r#"{"name":"e","zone":"posta","listen":"127.0.0.1:0","platform":"127.0.0.1:1"}"#;
    assert_eq!(check(GOOD)?.code, Some(0));
    let cases = [
        (
            GOOD.replace("}", r#","speed":3}"#),
            vec!["speed", "unknown field", "expected"],
        ),
        (GOOD.replace(r#""posta""#, "7"), vec!["zone", "7", "string"]),
        (
            GOOD.replace("127.0.0.1:0", "here"),
            vec!["listen", "socket address"],
        ),
        (
            GOOD.replace("}", r#","silence_ms":100}"#),
            vec!["silence_ms", "100", "500 or more"],
        ),
        (
            GOOD.replace("}", r#","threads":0}"#),
            vec!["threads", "0", "1 or more"],
        ),
        (
            GOOD.replace("}", r#","routing":"luck"}"#),
            vec!["routing", "luck", "least_loaded"],
        ),
        (
            GOOD.replace("}", r#","log":"loud"}"#),
            vec!["log", "loud", "a log level"],
        ),
        (
            GOOD.replace(r#""name":"e","#, ""),
            vec!["missing field", "name"],
        ),
    ];
    for (text, expected) in cases {
        let ran = check(&text)?;
        assert_eq!(ran.code, Some(1), "{text}");
        for part in expected {
            assert!(
                ran.stdout.contains(part),
                "{text}: {part} not in {}",
                ran.stdout
            );
        }
    }
    Ok(())
}

#[test]
fn root_documents_are_checked_offline() -> Result<()> {
    let root = r#"{"generation":1,"groups":[{"name":"g","share":1}],"base_models":["b"],
        "classes":[{"name":"c","priority":0,"timeout_ms":1,"age_after_ms":1,"stall_cost":1}],
        "shards":["d"]}"#;
    assert_eq!(check(root)?.code, Some(0));
    let zero = check(&root.replace(r#""share":1"#, r#""share":0"#))?;
    assert_eq!(zero.code, Some(1));
    assert!(zero.stdout.contains("groups.g.share"), "{}", zero.stdout);
    let twice = check(&root.replace(r#"["b"]"#, r#"["b","b"]"#))?;
    assert!(twice.stdout.contains("each name once"), "{}", twice.stdout);
    Ok(())
}

const INGRESS: &str = r#"{"name":"e","zone":"z","clients":"127.0.0.1:1","readiness":"127.0.0.1:2",
  "metrics":"127.0.0.1:3","store":"127.0.0.1:4","sidecar_port":5,"grace_s":8,"retry_ratio":0.2,
  "retry_extra":50,"retry_window_s":10,"version_ms":5000,
  "drain_ms":2000,"store_reads_per_s":2000}"#;

/// An invalid value is rejected with its key and what was expected.
#[test]
fn settings_of_the_ingress_are_checked() -> Result<()> {
    let cases = [
        ("\"name\":\"e\"", "\"name\":\"\"", ["name", "box's name"]),
        (
            "\"sidecar_port\":5",
            "\"sidecar_port\":0",
            ["sidecar_port", "1 or more"],
        ),
        ("\"grace_s\":8", "\"grace_s\":-1", ["grace_s", "0 or more"]),
        (
            "\"store\":\"127.0.0.1:4\"",
            "\"store\":\"there\"",
            ["store", "socket address"],
        ),
        (
            "\"zone\":\"z\"",
            "\"zone\":\"z\",\"zoom\":1",
            ["zoom", "unknown field"],
        ),
    ];
    let check = |text: &str| -> Result<ProgramOutput> {
        let file = settings_file(text)?;
        let ran = chalkcart(&["ingress", "--check", &file.to_string_lossy()])?;
        fs::remove_file(file)?;
        Ok(ran)
    };
    assert_eq!(check(INGRESS)?.code, Some(0));
    for (good, bad, expected) in cases {
        let ran = check(&INGRESS.replace(good, bad))?;
        assert_eq!(ran.code, Some(2), "{bad}");
        for part in expected {
            assert!(ran.stderr.contains(part), "{bad}: {}", ran.stderr);
        }
    }
    Ok(())
}

const LOG: &str = r#"
{"clock_ms":1000,"node":"f","part":"store","message":"read again"}
  12.5 f {"clock_ms":2400,"node":"f","part":"dispatch","message":"sent","request":"r1","adapter":"m/a","waited_ms":400}
{"clock_ms":2100,"node":"s","part":"engine","message":"ordered","order":"load m/a","answer":"Taken"}
{"clock_ms":2150,"node":"s","part":"engine","message":"ordered","order":"load m/b","answer":"Taken"}
{"clock_ms":1500,"node":"s","part":"engine","message":"ordered","order":"load m/a","answer":"Busy"}
not a line of a log
{"clock_ms":2900,"node":"f","part":"ingress","message":"answered","request":"r1","status":200}
{"clock_ms":2950,"node":"f","part":"ingress","message":"answered","request":"r2","status":200}
"#;

#[test]
fn explain_prints_a_request_and_the_orders_it_waited_for() -> Result<()> {
    let file = settings_file(LOG)?;
    let name = file.to_string_lossy().into_owned();
    let ran = chalkcart(&["explain", "r1", &name])?;
    let unknown = chalkcart(&["explain", "r9", &name])?;
    fs::remove_file(file)?;
    let lines: Vec<&str> = ran.stdout.lines().skip(1).collect();
    assert_eq!(lines.len(), 3, "{}", ran.stdout);
    assert!(
        lines[0].contains("load m/a") && lines[0].contains("Taken"),
        "{}",
        lines[0]
    );
    assert!(lines[1].contains("300 ms"), "{}", lines[1]);
    assert!(
        lines[2].contains("answered") && lines[2].contains("status=200"),
        "{}",
        lines[2]
    );
    assert_eq!(unknown.code, Some(1));
    Ok(())
}

/// Returns the two lines that an entry logs for a stream. All times are in milliseconds.
fn stream(id: &str, outcome: &str, waited: u32, queue: u32, first: u32, pause: u32) -> String {
    format!(
        r#"{{"clock_ms":1,"part":"dispatch","message":"sent","request":"{id}","waited_ms":{waited},"queue_ms":{queue}}}
{{"clock_ms":2,"part":"ingress","message":"stream ended","request":"{id}","route":"r","outcome":"{outcome}","objective_ms":600,"first_part_ms":{first},"longest_pause_ms":{pause}}}
"#
    )
}

#[test]
fn explain_day_counts_each_stream_under_one_cause() -> Result<()> {
    let lines = [
        stream("a", "whole", 0, 0, 600, 250),
        stream("b", "whole", 500, 900, 700, 0),
        stream("c", "whole", 100, 300, 700, 0),
        stream("d", "whole", 100, 0, 700, 0),
        stream("e", "whole", 0, 0, 100, 900),
        stream("f", "broken", 0, 0, 100, 0),
        stream("g", "client_left", 0, 0, 100, 0),
        r#"{"clock_ms":3,"part":"dispatch","message":"refused","request":"h","route":"r"}"#.into(),
    ];
    let file = settings_file(&lines.concat())?;
    let name = file.to_string_lossy().into_owned();
    let ran = chalkcart(&["explain", "--day", &name])?;
    fs::remove_file(file)?;
    let row = ran.stdout.lines().last().unwrap_or_default();
    assert_eq!(
        row, "| r | 1 | 1 | 1 | 1 | 1 | 1 | 1 | 1 |",
        "{}",
        ran.stdout
    );
    Ok(())
}
