//! how the ingress follows the store and its settings, over real processes

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

fn to(target: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        ..ClientRequest::default()
    }
}

async fn ask(fleet: &Fleet, target: &str) -> Result<ClientResponse> {
    request(fleet.clients, &to(target)).await
}

async fn until_status(fleet: &Fleet, target: &str, status: u16) {
    until_async(&format!("{target} gives {status}"), || async {
        let answer = ask(fleet, target).await;
        answer.is_ok_and(|answer| answer.status == status)
    })
    .await;
}

fn move_safe_route(document: &mut serde_json::Value) {
    document["Routes"][0]["PathPrefix"] = json!("/moved/");
}

#[tokio::test]
async fn a_change_is_in_force_soon_and_an_older_one_never_again() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.configure(move_safe_route);
    until_status(&fleet, "/moved/", 200).await;
    assert_eq!(ask(&fleet, "/safe/").await?.status, 404);
    fleet.configure(|document| document["Version"] = json!(1));
    fleet.configure(|document| {
        move_safe_route(document);
        document["Routes"][1]["PathPrefix"] = json!("/later/");
    });
    until_status(&fleet, "/later/", 200).await;
    // lines of earlier ones come before it
    let last = format!("configuration {} in force", fleet.version());
    until("the last one is logged", || fleet.log().contains(&last)).await;
    let in_force = fleet.log().matches("configuration 1 in force").count();
    assert_eq!(in_force, 1);
    Ok(())
}

/// each fault of the store ends; meanwhile what is known stays in force, and
/// afterwards changes are heard again
#[tokio::test]
async fn faults_of_the_store() -> Result<()> {
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
        until(&format!("{fault:?} is noticed"), || {
            fleet.log().contains("not read")
        })
        .await;
        assert_eq!(ask(&fleet, "/safe/").await?.status, 200, "{fault:?}");
        fleet.configure(move_safe_route);
        fleet.store.set_fault(StoreFault::None);
        until_status(&fleet, "/moved/", 200).await;
    }
    Ok(())
}

#[tokio::test]
async fn a_forgotten_history_is_read_anew() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.store.set_fault(StoreFault::Status(503));
    until("the fault is noticed", || fleet.log().contains("not read")).await;
    fleet.configure(move_safe_route);
    fleet.store.compact_history();
    fleet.store.set_fault(StoreFault::None);
    until_status(&fleet, "/moved/", 200).await;
    until("the loss is logged", || fleet.log().contains("history of")).await;
    Ok(())
}

#[tokio::test]
async fn a_list_longer_than_a_page_is_read_whole() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 7,
        ..FleetSettings::default()
    })
    .await?;
    // each but the last leaves; the last stood on the third page
    for number in 0..6 {
        fleet.publish_plain(number, "draining");
    }
    until_async("only the last is used", || async {
        let before = fleet.plain[6].runs().len();
        let answer = ask(&fleet, "/safe/").await;
        answer.is_ok() && fleet.plain[6].runs().len() > before
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn records_that_cannot_be_read_change_nothing_and_are_named() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.store.put("op/config", json!({"Version": "x"}));
    fleet.store.put("servers/bad", json!({"Service": 1}));
    until("both are named", || {
        let log = fleet.log();
        log.contains("op/config can't be read") && log.contains("servers/bad can't be read")
    })
    .await;
    assert_eq!(ask(&fleet, "/safe/").await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn new_settings_take_effect_and_bad_ones_are_refused() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let good = fs::read_to_string(&fleet.settings_file)?;
    let hang_up = || kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP);
    fs::write(
        &fleet.settings_file,
        good.replace("\"grace_s\":6.0", "\"grace_s\":-1.0"),
    )?;
    hang_up()?;
    until("the bad ones are refused", || {
        let log = fleet.log();
        log.contains("new version rejected") && log.contains("grace_s: -1 is not allowed")
    })
    .await;
    assert_eq!(ask(&fleet, "/safe/").await?.status, 200);
    fs::write(
        &fleet.settings_file,
        good.replace("\"retry_extra\":50", "\"retry_extra\":60"),
    )?;
    until("a change is seen without a signal", || {
        fleet.log().contains("ingress.json in force")
    })
    .await;
    Ok(())
}

/// Each topic is followed by one watch after the other, each held to its end, so the calls
/// in some time are as many as watches begin in it. The time is the one that has passed:
/// three seconds hold three or four beginnings of a watch of 0.9 s, by where in a watch
/// they begin.
#[tokio::test]
async fn calls_to_the_store_are_few_while_nothing_changes() -> Result<()> {
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
    let began = Instant::now();
    let before = prefixes.map(watches);
    let all_before = fleet.store.calls().len();
    sleep(Duration::from_secs(3)).await;
    let after = prefixes.map(watches);
    let all = fleet.store.calls().len() - all_before;
    let begun = began.elapsed().div_duration_f64(hold) as usize + 1;
    for (prefix, (before, after)) in prefixes.iter().zip(before.iter().zip(after)) {
        let calls = after - before;
        assert!(calls <= begun, "{calls} watches of {prefix}, not {begun}");
    }
    let most = prefixes.len() * begun;
    assert!(
        all <= most,
        "{all} calls, not {most}: {:?}",
        fleet.store.calls()
    );
    Ok(())
}

/// found by a soak: SIGHUP ended an ingress that had just been started, since nobody
/// followed the signal yet
#[tokio::test]
async fn a_signal_to_read_the_settings_does_not_end_a_process_that_begins() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.ingress.kill()?;
    let file = fleet.settings_file.clone();
    let text = fs::read(&file)?;
    fs::remove_file(&file)?;
    assert!(Command::new("mkfifo").arg(&file).status()?.success());
    fleet.start_ingress()?;
    // opened by both: the process is about to read its settings
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
