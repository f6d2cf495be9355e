//! What a process writes as it ends. Each test runs itself once more as the process that ends.

use {
    anyhow::{bail, Context, Result},
    chalkcart_node::runtime::run_process,
    serde_json::Value,
    std::{env, process::Command, thread},
};

/// Names the way in which the process of a test ends.
const END: &str = "CHALKCART_TEST_END";

/// Runs a process that ends in this way, and returns its log lines.
fn lines_of(end: &str, test: &str) -> Result<Vec<Value>> {
    let mut command = Command::new(env::current_exe()?);
    command.args(["--exact", test, "--nocapture"]).env(END, end);
    let output = String::from_utf8(command.output()?.stdout)?;
    // the name of the test may stand before the first one
    let lines = output
        .lines()
        .filter_map(|line| Some(&line[line.find('{')?..]));
    lines
        .map(|line| serde_json::from_str(line).context("a line that is no JSON"))
        .collect()
}

fn end_as_told() -> Result<()> {
    let end = env::var(END)?;
    run_process("n", "info", 1, async move {
        match end.as_str() {
            "failure" => bail!("the reason"),
            "panic" => panic!("the reason"),
            "other thread" => {
                let other = thread::Builder::new().name("other".to_string());
                let _ = other.spawn(|| panic!("the reason"))?.join();
                Ok(())
            }
            _ => Ok(()),
        }
    })
}

fn line<'l>(lines: &'l [Value], message: &str) -> Option<&'l Value> {
    lines.iter().find(|line| line["message"] == message)
}

/// Guards against a process that ends and leaves no line which says why: a failure, a panic of
/// its main task and a stop as told looked alike.
#[test]
fn each_end_of_a_process_names_its_cause() -> Result<()> {
    if env::var(END).is_ok() {
        return end_as_told();
    }
    let test = "each_end_of_a_process_names_its_cause";
    let cases = [
        ("stop", "ends as it was told to"),
        ("failure", "failed: the reason"),
        ("panic", "failed: panicked: the reason"),
    ];
    for (end, message) in cases {
        let lines = lines_of(end, test)?;
        assert!(line(&lines, message).is_some(), "{end}: {lines:?}");
    }
    Ok(())
}

/// Guards against a thread that ends by a panic of which the log says nothing.
#[test]
fn a_panic_is_logged_with_its_thread_and_place() -> Result<()> {
    if env::var(END).is_ok() {
        return end_as_told();
    }
    let lines = lines_of(
        "other thread",
        "a_panic_is_logged_with_its_thread_and_place",
    )?;
    let panic = line(&lines, "a thread panicked").context("no line of the panic")?;
    assert_eq!(panic["thread"], "other");
    assert_eq!(panic["problem"], "the reason");
    let place = panic["place"].as_str().unwrap_or_default();
    assert!(place.contains("ends.rs"), "{place}");
    Ok(())
}
