//! the operators' commands against a running fleet

use {
    anyhow::Result,
    chalkcart_testkit::{
        cluster::{Binaries, Cluster, ClusterSettings},
        commands::{run_program, ProgramOutput},
        engine::expected_token,
    },
};

fn command(cluster: &Cluster, word: &str, rest: &[&str]) -> Result<ProgramOutput> {
    let addr = cluster.entries[0].listen.to_string();
    let mut args = vec![word];
    let options = rest.iter().take_while(|arg| arg.starts_with("--"));
    let count = options.count();
    args.extend(&rest[..count]);
    args.push(&addr);
    args.extend(&rest[count..]);
    run_program(&Binaries::get()?.entry, &args)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_command_does_what_its_help_says() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let status = command(&cluster, "status", &[])?;
    assert_eq!(status.code, Some(0), "{}", status.stderr);
    assert!(
        status.stdout.starts_with("entry-0 generation 1\n"),
        "{}",
        status.stdout
    );
    for target in ["engine-0", "engine-1", "service-0"] {
        assert!(status.stdout.contains(target), "{target}");
    }
    let plan = command(&cluster, "plan", &["loan-1", "1"])?;
    assert_eq!(
        plan.stdout.lines().count(),
        2,
        "{}{}",
        plan.stdout,
        plan.stderr
    );
    let generate = command(
        &cluster,
        "generate",
        &[
            "--max-tokens=2",
            "branches",
            "counter",
            "loan-1",
            "1",
            "hello",
        ],
    )?;
    let tokens = [0, 1].map(|index| expected_token("loan-1", 1, "hello", index));
    assert_eq!(
        generate.stdout.trim(),
        tokens.join(" "),
        "{}",
        generate.stderr
    );
    let call = command(
        &cluster,
        "call",
        &["--once", "branches", "counter", "fee-table", "table 1"],
    )?;
    assert_eq!(call.stdout, "table 1\n", "{}", call.stderr);
    assert!(
        call.stderr.contains("reserved id: service-0."),
        "{}",
        call.stderr
    );
    let in_force = command(&cluster, "wait", &["1"])?;
    assert_eq!(in_force.code, Some(0), "{}", in_force.stderr);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_fails_ends_with_1_and_says_why() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let missing = command(&cluster, "wait", &["--timeout-ms=10", "9"])?;
    assert_eq!(missing.code, Some(1));
    assert!(
        missing.stdout.contains("missing on: engine-0"),
        "{}",
        missing.stdout
    );
    let unknown = command(&cluster, "plan", &["none", "1"])?;
    assert_eq!(unknown.code, Some(1));
    assert!(
        unknown.stderr.contains("not a known adapter"),
        "{}",
        unknown.stderr
    );
    let repeatable = command(&cluster, "call", &["branches", "counter", "fee-table", "x"])?;
    assert_eq!(repeatable.code, Some(1));
    assert!(
        repeatable.stderr.contains("NOT_RUN"),
        "{}",
        repeatable.stderr
    );
    Ok(())
}
