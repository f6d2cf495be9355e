//! How the ingress applies changes of the store and of its settings, over real processes.

use {
    anyhow::Result,
    chalkcart_coordination::watch::WatchPacing,
    chalkcart_platform::names,
    chalkcart_testkit::{
        users_platform::{
            request, ClientRequest, ClientResponse, Fleet, FleetSettings, StoreFault,
        },
        waiting::{until, until_async},
    },
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::{
        fs::{self, OpenOptions},
        io::Write,
        process::Command,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

fn request_to(target: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        ..ClientRequest::default()
    }
}

async fn send(fleet: &Fleet, target: &str) -> Result<ClientResponse> {
    request(fleet.clients, &request_to(target)).await
}

async fn wait_until_status(fleet: &Fleet, target: &str, status: u16) {
    until_async(&format!("{target} gives {status}"), || async {
        let response = send(fleet, target).await;
        response.is_ok_and(|response| response.status == status)
    })
    .await;
}

fn move_safe_route(document: &mut serde_json::Value) {
    document["Routes"][0]["PathPrefix"] = json!("/moved/");
}

#[tokio::test]
async fn a_change_comes_into_force_and_an_older_version_never_returns() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.configure(move_safe_route);
    wait_until_status(&fleet, "/moved/", 200).await;
    assert_eq!(send(&fleet, "/safe/").await?.status, 404);
    fleet.configure(|document| document["Version"] = json!(1));
    fleet.configure(|document| {
        move_safe_route(document);
        document["Routes"][1]["PathPrefix"] = json!("/later/");
    });
    wait_until_status(&fleet, "/later/", 200).await;
    // the log lines of earlier versions precede this one
    let last_line = format!("configuration {} in force", fleet.version());
    until("the last version is logged", || {
        fleet.log().contains(&last_line)
    })
    .await;
    let in_force = fleet.log().matches("configuration 1 in force").count();
    assert_eq!(in_force, 1);
    Ok(())
}

/// During a store fault the known configuration stays in force, and changes apply after it.
#[tokio::test]
async fn the_configuration_stays_in_force_during_store_faults() -> Result<()> {
    let faults = [
        StoreFault::Unresponsive,
        StoreFault::Reset,
        StoreFault::Status(503),
        StoreFault::Status(429),
        StoreFault::Status(500),
    ];
    for fault in faults {
        let mut fleet = Fleet::start(FleetSettings::default()).await?;
        fleet.store.set_fault(fault);
        until(&format!("{fault:?} is logged"), || {
            fleet.log().contains("not read")
        })
        .await;
        assert_eq!(send(&fleet, "/safe/").await?.status, 200, "{fault:?}");
        fleet.configure(move_safe_route);
        fleet.store.set_fault(StoreFault::None);
        wait_until_status(&fleet, "/moved/", 200).await;
    }
    Ok(())
}

#[tokio::test]
async fn a_compacted_history_leads_to_a_full_read() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.store.set_fault(StoreFault::Status(503));
    until("the fault is logged", || fleet.log().contains("not read")).await;
    fleet.configure(move_safe_route);
    fleet.store.compact_history();
    fleet.store.set_fault(StoreFault::None);
    wait_until_status(&fleet, "/moved/", 200).await;
    until("the loss is logged", || fleet.log().contains("history of")).await;
    Ok(())
}

#[tokio::test]
async fn a_list_of_several_pages_is_read_completely() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 7,
        ..FleetSettings::default()
    })
    .await?;
    // all but the last drain; the last is on the third page
    for number in 0..6 {
        fleet.publish_plain(number, "draining");
    }
    until_async("only the last back end is used", || async {
        let before = fleet.plain[6].runs().len();
        let response = send(&fleet, "/safe/").await;
        response.is_ok() && fleet.plain[6].runs().len() > before
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn unreadable_records_are_logged_and_change_nothing() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.store.put("op/config", json!({"Version": "x"}));
    fleet.store.put("servers/bad", json!({"Service": 1}));
    until("both keys are logged", || {
        let log = fleet.log();
        log.contains("op/config can't be read") && log.contains("servers/bad can't be read")
    })
    .await;
    assert_eq!(send(&fleet, "/safe/").await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn new_settings_take_effect_and_invalid_ones_are_rejected() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let valid = fs::read_to_string(&fleet.settings_file)?;
    let send_sighup = || kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP);
    fs::write(
        &fleet.settings_file,
        valid.replace("\"grace_s\":6.0", "\"grace_s\":-1.0"),
    )?;
    send_sighup()?;
    until("the invalid settings are rejected", || {
        let log = fleet.log();
        log.contains("new version rejected") && log.contains("grace_s: -1 is not allowed")
    })
    .await;
    assert_eq!(send(&fleet, "/safe/").await?.status, 200);
    fs::write(
        &fleet.settings_file,
        valid.replace("\"retry_extra\":50", "\"retry_extra\":60"),
    )?;
    until("a change is applied without a signal", || {
        fleet.log().contains("ingress.json in force")
    })
    .await;
    Ok(())
}

/// Each topic is watched by one long poll at a time, so the number of calls is bounded by the
/// elapsed time divided by the hold time, plus one.
#[tokio::test]
async fn store_calls_are_bounded_while_nothing_changes() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let hold = WatchPacing::default().next_call(0).hold;
    let watches = |prefix: &str| {
        let query = format!("PathPrefix={prefix}&");
        let wait = format!("&WaitMs={}", hold.as_millis());
        let calls = fleet.store.calls();
        let calls = calls.iter().filter(|call| call.contains(&query));
        calls.filter(|call| call.ends_with(&wait)).count()
    };
    let prefixes = [names::CONFIG_PREFIX, names::SERVERS_PREFIX];
    until("both topics are watched", || {
        prefixes.iter().all(|prefix| watches(prefix) > 0)
    })
    .await;
    let started_at = Instant::now();
    let before = prefixes.map(watches);
    let total_before = fleet.store.calls().len();
    sleep(Duration::from_secs(3)).await;
    let after = prefixes.map(watches);
    let total_calls = fleet.store.calls().len() - total_before;
    let max_watches = started_at.elapsed().div_duration_f64(hold) as usize + 1;
    for (prefix, (before, after)) in prefixes.iter().zip(before.iter().zip(after)) {
        let calls = after - before;
        assert!(
            calls <= max_watches,
            "{calls} watches of {prefix}, at most {max_watches} expected"
        );
    }
    let max_calls = prefixes.len() * max_watches;
    assert!(
        total_calls <= max_calls,
        "{total_calls} calls, at most {max_calls} expected: {:?}",
        fleet.store.calls()
    );
    Ok(())
}

/// Guards against: SIGHUP terminating a process that has not installed its handler yet.
#[tokio::test]
async fn sighup_does_not_end_a_process_that_is_starting() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.ingress.kill()?;
    let file = fleet.settings_file.clone();
    let text = fs::read(&file)?;
    fs::remove_file(&file)?;
    assert!(Command::new("mkfifo").arg(&file).status()?.success());
    fleet.start_ingress()?;
    // opening the pipe returns when the process is about to read its settings
    let mut pipe = OpenOptions::new().write(true).open(&file)?;
    kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP)?;
    let plain = file.with_extension("plain");
    fs::write(&plain, &text)?;
    fs::rename(&plain, &file)?;
    pipe.write_all(&text)?;
    drop(pipe);
    fleet.wait_ready().await;
    assert!(!fleet.ingress.has_ended());
    Ok(())
}
