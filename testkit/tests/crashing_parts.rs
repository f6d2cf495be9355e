//! Requests whose prompts have a part that crashes every engine that begins to answer them.
//!
//! Guards against: requests with one such part, no two of them alike, crashing one engine after
//! the other, and against sound requests that are rejected because they share other parts.

use {
    anyhow::Result,
    chalkcart_coordination::response_end::Framing,
    chalkcart_state::ingress::PartId,
    chalkcart_testkit::{
        users_platform::{
            prompt, prompt_with_parts, request, ClientRequest, Fleet, FleetSettings, OtherIngress,
        },
        waiting::until_async,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

const REQUESTS: u32 = 24;
/// Crashes until a part is known, plus requests that are on their way then.
const MAX_CRASHES: u32 = 5 + 3;
/// The part that all requests of the caller begin with.
const FIRST_PART: &str = "5c1e07a2";
const CRASH_PART: &str = "bad0";
const OTHER_CRASH_PART: &str = "bad1";

/// A fleet whose engines crash on certain parts.
struct Scenario {
    fleet: Fleet,
    entries: Vec<SocketAddr>,
    /// Entries besides that of the fleet; each runs until it is dropped.
    others: Vec<OtherIngress>,
    sent: u32,
    rejected: u32,
}

impl Scenario {
    async fn start(engines: u8) -> Result<Self> {
        Self::start_with(FleetSettings {
            engines,
            ..FleetSettings::default()
        })
        .await
    }

    async fn start_with(settings: FleetSettings) -> Result<Self> {
        let fleet = Fleet::start(settings).await?;
        for engine in &fleet.engines {
            engine.state().crash_parts = vec![PartId::of(CRASH_PART), PartId::of(OTHER_CRASH_PART)];
        }
        let entries = vec![fleet.clients];
        let (sent, rejected) = (0, 0);
        Ok(Self {
            fleet,
            entries,
            others: Vec::new(),
            sent,
            rejected,
        })
    }

    async fn add_entry(&mut self, name: &str) -> Result<()> {
        let other = self.fleet.start_other_ingress(name).await?;
        self.entries.push(other.clients);
        self.others.push(other);
        Ok(())
    }

    fn crashes(&self) -> u32 {
        self.fleet.engines.iter().map(|e| e.state().crashes).sum()
    }

    /// Sends requests with these shared parts, no two alike, each beside a sound one that has
    /// the first part too.
    async fn send_crashing_requests(&mut self, count: u32, shared: &[&str]) {
        for _ in 0..count {
            self.sent += 1;
            let number = self.sent;
            let entry = self.entries[number as usize % self.entries.len()];
            let crashing = unique_prompt("crashing", number, shared);
            let sound = unique_prompt("sound", number, &[FIRST_PART]);
            let (response, beside) =
                tokio::join!(request(entry, &crashing), request(entry, &sound));
            self.rejected += u32::from(response.is_ok_and(|r| r.status == 400));
            // a crash may break it off, but it must not be blocked
            assert_ne!(
                beside.map_or(0, |r| r.status),
                400,
                "sound request {number}"
            );
            wait_until_served(entry).await;
        }
    }

    /// Asserts that the crashes stopped, and that sound requests are served at the first try.
    async fn assert_blocked(&self, max_crashes: u32) -> Result<()> {
        let crashes = self.crashes();
        assert!(crashes <= max_crashes, "{crashes} engines crashed");
        assert!(self.rejected > 0, "no request was rejected");
        for (number, entry) in (0..).zip(&self.entries) {
            let sound = unique_prompt("after", number, &[FIRST_PART]);
            assert_eq!(request(*entry, &sound).await?.status, 200);
        }
        assert_eq!(self.crashes(), crashes);
        Ok(())
    }
}

/// Returns a request that differs from all others in its body and in its last part.
fn unique_prompt(kind: &str, number: u32, shared: &[&str]) -> ClientRequest {
    let id = format!("{kind}-{number}");
    let last = PartId::of(&id).to_string();
    let parts: Vec<&str> = shared.iter().copied().chain([last.as_str()]).collect();
    ClientRequest {
        body: id.clone().into_bytes(),
        ..prompt_with_parts(prompt("a", &id), &parts)
    }
}

/// Waits until a sound request of the caller is served, each try under another id.
async fn wait_until_served(entry: SocketAddr) {
    static TRIES: AtomicU32 = AtomicU32::new(0);
    until_async("a sound request is served", || async {
        let number = TRIES.fetch_add(1, Ordering::Relaxed);
        let sound = unique_prompt("waits", number, &[FIRST_PART, "other"]);
        let response = request(entry, &sound).await;
        response.is_ok_and(|r| r.status == 200 && r.is_complete)
    })
    .await;
}

/// Guards against crashes without end by requests that are never the same.
#[tokio::test]
async fn a_part_that_crashes_engines_is_soon_blocked() -> Result<()> {
    let mut scenario = Scenario::start(4).await?;
    scenario.add_entry("front-2").await?;
    scenario
        .send_crashing_requests(REQUESTS, &[FIRST_PART, CRASH_PART, "third"])
        .await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against a rule that takes the first part for the caller's and never blocks it.
#[tokio::test]
async fn a_first_part_that_crashes_engines_is_soon_blocked() -> Result<()> {
    let mut scenario = Scenario::start(4).await?;
    scenario
        .send_crashing_requests(REQUESTS, &[CRASH_PART, "second"])
        .await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against two causes that hide each other: neither stands under all crashes.
#[tokio::test]
async fn two_parts_that_crash_engines_are_both_blocked() -> Result<()> {
    let mut scenario = Scenario::start(4).await?;
    for _ in 0..REQUESTS / 2 {
        scenario
            .send_crashing_requests(1, &[FIRST_PART, CRASH_PART])
            .await;
        scenario
            .send_crashing_requests(1, &[FIRST_PART, OTHER_CRASH_PART])
            .await;
    }
    scenario.assert_blocked(2 * MAX_CRASHES).await
}

/// Guards against an entry that starts again and sends what the others have learnt to block.
#[tokio::test]
async fn an_entry_that_starts_again_knows_the_blocked_part() -> Result<()> {
    let mut scenario = Scenario::start(3).await?;
    let shared = [FIRST_PART, CRASH_PART];
    scenario.send_crashing_requests(REQUESTS / 2, &shared).await;
    scenario.fleet.ingress.kill()?;
    scenario.fleet.restart_ingress()?;
    scenario.fleet.wait_ready().await;
    scenario.send_crashing_requests(REQUESTS / 2, &shared).await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against a crash that looks like the end of a whole stream and clears its cause.
#[tokio::test]
async fn a_part_is_blocked_though_its_streams_end_between_events_without_framing() -> Result<()> {
    let mut scenario = Scenario::start(4).await?;
    for engine in &scenario.fleet.engines {
        let mut state = engine.state();
        (state.crash_framing, state.events_before_crash) = (Framing::Connection, 1);
    }
    scenario
        .send_crashing_requests(REQUESTS, &[FIRST_PART, CRASH_PART])
        .await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against an entry that continues the stream of a crashing prompt at engine after engine.
#[tokio::test]
async fn a_part_is_blocked_for_streams_that_are_continued() -> Result<()> {
    let mut scenario = Scenario::start_with(FleetSettings {
        engines: 4,
        stream_attempts: 3,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &scenario.fleet.engines {
        engine.state().events_before_crash = 2;
    }
    scenario
        .send_crashing_requests(REQUESTS, &[FIRST_PART, CRASH_PART])
        .await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against sound streams that are blamed for the crashes which break them off.
#[tokio::test]
async fn sixty_long_streams_beside_a_crashing_part_are_not_blocked() -> Result<()> {
    let mut scenario = Scenario::start(4).await?;
    for engine in &scenario.fleet.engines {
        let mut state = engine.state();
        state.slots = 64;
        (state.event_count, state.event_interval) = (60, Duration::from_millis(50));
    }
    let entry = scenario.fleet.clients;
    let streams = (0..60).map(|number| {
        tokio::spawn(async move {
            // two streams share a part that others lack
            let rare = format!("{:x}", 0x1000 + number / 2);
            let stream = unique_prompt("long", number, &[FIRST_PART, &rare]);
            request(entry, &stream).await.map_or(0, |r| r.status)
        })
    });
    let streams: Vec<_> = streams.collect();
    for number in 0..12 {
        let crashing = unique_prompt("crashing", number, &[FIRST_PART, CRASH_PART]);
        let response = request(entry, &crashing).await;
        scenario.rejected += u32::from(response.is_ok_and(|r| r.status == 400));
        sleep(Duration::from_millis(200)).await;
    }
    for stream in streams {
        assert_ne!(stream.await?, 400);
    }
    wait_until_served(entry).await;
    scenario.assert_blocked(MAX_CRASHES).await
}

/// Guards against parts that are blocked because engines crash for other reasons.
#[tokio::test]
async fn engines_that_crash_by_themselves_block_no_part() -> Result<()> {
    let scenario = Scenario::start(4).await?;
    let entry = scenario.fleet.clients;
    wait_until_served(entry).await;
    for number in 0..16 {
        let engine = &scenario.fleet.engines[number as usize % 4];
        let beside = (0..4).map(|stream| {
            let stream = unique_prompt("beside", 4 * number + stream, &[FIRST_PART]);
            tokio::spawn(async move { request(entry, &stream).await })
        });
        let beside: Vec<_> = beside.collect();
        sleep(Duration::from_millis(20)).await;
        engine.state().crash();
        for stream in beside {
            assert_ne!(stream.await?.map_or(0, |r| r.status), 400);
        }
    }
    wait_until_served(entry).await;
    assert!(!scenario.fleet.log().contains("request blocked"));
    Ok(())
}
