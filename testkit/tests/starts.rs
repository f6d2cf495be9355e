//! What a process meets as it starts and can pass by itself doesn't end it (FAULT).

mod starts_fixture;

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        cluster::Process,
        users_platform::{Fleet, FleetSettings},
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    starts_fixture::{programs, Holder, Program},
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Part of the line of a process that waits for its settings.
const READ_AGAIN: &str = "read again";
/// Part of the line of a process that has read its settings again.
const SETTINGS_READ: &str = "settings.json in force";
/// Line of a process that waits for an address.
const WAITS: &str = "waits until it can listen";
/// Time within which a process that was told to stop has ended.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Keeps a failing test from hanging; twice as long as a port is kept after its connection.
const PORTS_LIMIT: Duration = Duration::from_secs(120);

async fn hold(addr: SocketAddr, by_connection: bool) -> Result<Holder> {
    match by_connection {
        true => Holder::connection(addr).await,
        false => Holder::listener(addr).await,
    }
}

/// Checks that a process lives and listens on all its addresses.
async fn check_listens(program: &Program, process: &mut Process, case: &str) -> Result<()> {
    program.wait_listening(process).await;
    let name = program.name;
    ensure!(!process.has_ended(), "{name}, {case}: {}", program.log());
    Ok(())
}

/// Guards against processes that end by themselves (FAULT) because a port of theirs is held as
/// they start, by a listener or by an outgoing connection that was given this port.
#[tokio::test(flavor = "multi_thread")]
async fn a_held_address_is_waited_for() -> Result<()> {
    for program in programs()? {
        for (number, addr) in program.addrs.iter().enumerate() {
            for by_connection in [false, true] {
                let case = format!("address {number}, by a connection: {by_connection}");
                let holder = hold(*addr, by_connection).await?;
                let mut process = program.start()?;
                program.wait_for_line(&mut process, &case, WAITS).await;
                drop(holder);
                check_listens(&program, &mut process, &case).await?;
                process.kill()?;
            }
        }
    }
    Ok(())
}

/// Guards against a process that waits for an address and doesn't hear a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_waits_for_its_address_stops_when_told() -> Result<()> {
    for program in programs()? {
        let _holder = Holder::listener(program.addrs[0]).await?;
        let mut process = program.start()?;
        program.wait_for_line(&mut process, "it waits", WAITS).await;
        process.terminate()?;
        let status = process.wait(STOP_LIMIT).await?;
        ensure!(status.code() == Some(0), "{}: {status}", program.name);
    }
    Ok(())
}

/// Guards against clients that nobody serves while only the address of the metrics is held.
#[tokio::test(flavor = "multi_thread")]
async fn clients_are_served_while_the_address_of_the_metrics_is_held() -> Result<()> {
    let mut program = programs()?.remove(0);
    let metrics = program.addrs.pop();
    let _holder = Holder::listener(metrics.expect("three addresses")).await?;
    let mut process = program.start()?;
    check_listens(&program, &mut process, "metrics held").await
}

/// Guards against processes that end by themselves (FAULT) because their settings file is empty,
/// half written or missing at the moment of their start.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_not_whole_yet_are_read_again() -> Result<()> {
    for program in programs()? {
        let whole = program.settings_text();
        for state in [Some(""), Some(&whole[..whole.len() / 2]), None] {
            match state {
                Some(text) => program.write_settings(text)?,
                None => fs::remove_file(program.settings_file())?,
            }
            let mut process = program.start()?;
            let case = format!("settings {state:?}");
            program.wait_for_line(&mut process, &case, READ_AGAIN).await;
            program.write_settings(&whole)?;
            check_listens(&program, &mut process, &case).await?;
            process.kill()?;
        }
    }
    Ok(())
}

/// Guards against a start that waits where nothing passes: whole settings that are invalid.
#[tokio::test(flavor = "multi_thread")]
async fn whole_settings_that_are_invalid_end_a_start_at_once() -> Result<()> {
    for program in programs()? {
        let invalid = program.settings_text().replace("\"name\"", "\"nam\"");
        program.write_settings(&invalid)?;
        let mut process = program.start()?;
        let status = process.wait(STOP_LIMIT).await?;
        let (name, log) = (program.name, program.log());
        ensure!(status.code() == Some(2), "{name}: {status}");
        ensure!(!log.contains(READ_AGAIN) && log.contains("nam"), "{log}");
    }
    Ok(())
}

/// Guards against SIGHUP, which says that the settings changed, ending a process that reads them
/// only as it starts (FAULT).
#[tokio::test(flavor = "multi_thread")]
async fn sighup_ends_no_form_of_a_program() -> Result<()> {
    for program in programs()? {
        let mut process = program.start()?;
        check_listens(&program, &mut process, "before SIGHUP").await?;
        process.hang_up()?;
        program
            .wait_for_line(&mut process, "the settings are read", SETTINGS_READ)
            .await;
        check_listens(&program, &mut process, "after SIGHUP").await?;
    }
    Ok(())
}

/// Returns the local addresses of a process's outgoing connections, by the kernel's table.
fn outgoing_addrs(process: &Process) -> Result<Vec<SocketAddr>> {
    let mut inodes = Vec::new();
    for entry in fs::read_dir(format!("/proc/{}/fd", process.id()))? {
        let target = fs::read_link(entry?.path()).unwrap_or_default();
        let target = target.to_string_lossy().into_owned();
        let inode = target.strip_prefix("socket:[");
        inodes.extend(
            inode
                .and_then(|text| text.strip_suffix(']'))
                .map(str::to_string),
        );
    }
    let table = fs::read_to_string("/proc/net/tcp")?;
    let rows = table.lines().skip(1).map(|row| row.split_whitespace());
    let rows = rows.map(|row| row.collect::<Vec<_>>());
    let established = rows.filter(|row| row.get(3) == Some(&"01"));
    let own = established.filter(|row| inodes.iter().any(|inode| row.get(9) == Some(&&**inode)));
    Ok(own.filter_map(|row| table_addr(row.get(1)?)).collect())
}

/// Returns the rows of the kernel's table with a local address.
fn rows_at(addr: SocketAddr) -> Result<Vec<String>> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let rows = table.lines().skip(1);
    let at = rows.filter(|row| row.split_whitespace().nth(1).and_then(table_addr) == Some(addr));
    Ok(at.map(str::to_string).collect())
}

/// Reads an address of the kernel's table: the IP in the machine's byte order, and the port.
fn table_addr(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((ip, port)))
}

/// Returns whether a listener had the address of an outgoing connection; `None` if a connection of
/// another process has the port too, by which it could be kept.
async fn is_left_to_listeners(addr: SocketAddr) -> Result<Option<bool>> {
    let others = rows_at(addr)?.len() > 1;
    match TcpListener::bind(addr).await {
        Ok(_) => Ok(Some(true)),
        Err(_) if others => Ok(None),
        Err(_) => Ok(Some(false)),
    }
}

/// Guards against an outgoing connection of ours that keeps another process from its port (FAULT).
#[tokio::test(flavor = "multi_thread")]
async fn outgoing_connections_leave_their_ports_to_listeners() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        engines: 2,
        ..FleetSettings::default()
    })
    .await?;
    let listening = [
        fleet.clients,
        fleet.readiness,
        fleet.metrics,
        fleet.sidecar_addr(0),
    ];
    for process in [&fleet.ingress, &fleet.sidecars[0]] {
        let end = Instant::now() + PORTS_LIMIT;
        let mut left = 0;
        // ports of others are free again within a minute after their connections
        while left == 0 {
            ensure!(
                Instant::now() < end,
                "each port was that of another connection too"
            );
            let addrs = outgoing_addrs(process)?;
            for addr in addrs.into_iter().filter(|addr| !listening.contains(addr)) {
                let is_left = is_left_to_listeners(addr).await?;
                ensure!(is_left != Some(false), "{addr} is kept from a listener");
                left += usize::from(is_left == Some(true));
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// What a process meets at one moment of its start.
struct Moment {
    /// Addresses that are held, each by a connection or a listener.
    held: Vec<(SocketAddr, bool)>,
    /// The bytes of the settings file that are written so far; `None` if it is missing.
    written: Option<usize>,
    /// Time after which all of this has passed.
    lasts: Duration,
    /// Times of SIGHUP after the program runs.
    hangups: Vec<Duration>,
}

impl Moment {
    fn draw(rng: &mut StdRng, program: &Program) -> Self {
        let mut held = Vec::new();
        for addr in &program.addrs {
            if rng.random_bool(0.6) {
                held.push((*addr, rng.random_bool(0.5)));
            }
        }
        let whole = program.settings_text().len();
        let written = match rng.random_range(0..4) {
            0 => None,
            1 => Some(rng.random_range(0..whole)),
            _ => Some(whole),
        };
        let count = rng.random_range(0..4);
        Self {
            held,
            written,
            lasts: Duration::from_millis(rng.random_range(0..600)),
            hangups: (0..count)
                .map(|_| Duration::from_millis(rng.random_range(0..300)))
                .collect(),
        }
    }
}

/// Guards against any mix of what passes at a start (seeded): whatever the moment, the process
/// lives and listens once it has passed.
#[tokio::test(flavor = "multi_thread")]
async fn any_moment_of_a_start_is_outlived() -> Result<()> {
    for seed in 0..3 {
        let mut rng = StdRng::seed_from_u64(seed);
        for program in programs()? {
            let moment = Moment::draw(&mut rng, &program);
            let mut holders = Vec::new();
            for (addr, by_connection) in &moment.held {
                holders.push(hold(*addr, *by_connection).await?);
            }
            let whole = program.settings_text();
            match moment.written {
                Some(count) => program.write_settings(&whole[..count])?,
                None => fs::remove_file(program.settings_file())?,
            }
            let mut process = program.start()?;
            for after in &moment.hangups {
                sleep(*after).await;
                if process.survives_sighup() {
                    process.hang_up()?;
                }
            }
            sleep(moment.lasts).await;
            drop(holders);
            program.write_settings(&whole)?;
            check_listens(&program, &mut process, &format!("seed {seed}")).await?;
        }
    }
    Ok(())
}
