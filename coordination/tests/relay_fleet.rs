//! A simulated fleet whose relays fail one after the other, with a fixed seed.

use {
    chalkcart_coordination::{
        membership::rendezvous_weight,
        relay::{RelayCandidate, RelaySelector, RELAYS_PER_ZONE},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 25;
const ZONES: usize = 5;
const ENTRIES: usize = 60;
const ENGINES: usize = 200;
const STEP: Duration = Duration::from_millis(100);
/// Time without a message after which an entry leaves its relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which an entry selects its relay again.
const REVIEW_STEPS: u64 = 20;
/// Length of the period in which relays fail, in steps.
const FAULT_STEPS: u64 = 300;
const FAULT_INTERVAL_STEPS: u64 = 5;
const FAILURE_STEPS: u64 = 15;
/// Longer than the back-off of a failed relay and a review interval.
const RECOVERY_STEPS: u64 = 80;

struct Entry {
    zone: usize,
    selector: RelaySelector,
    relay: SocketAddr,
    without_relay: Duration,
    max_without_relay: Duration,
}

struct Fleet {
    now: Instant,
    step: u64,
    candidates: Vec<RelayCandidate>,
    dead: BTreeMap<SocketAddr, u64>,
    entries: Vec<Entry>,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let engine = |n: usize| RelayCandidate {
            engine: SocketAddr::from(([10, 0, n as u8, 1], 80)),
            zone: format!("z{}", n % ZONES),
        };
        let candidates: Vec<RelayCandidate> = (0..ENGINES).map(engine).collect();
        let entries = (0..ENTRIES).map(|n| {
            let zone = n % ZONES;
            let mut selector = RelaySelector::new(&format!("e{n}"), &format!("z{zone}"));
            let relay = selector.select(&candidates, None, now).expect("a relay");
            Entry {
                zone,
                selector,
                relay,
                without_relay: Duration::ZERO,
                max_without_relay: Duration::ZERO,
            }
        });
        let entries = entries.collect();
        Self {
            now,
            step: 0,
            candidates,
            dead: BTreeMap::new(),
            entries,
        }
    }

    fn kill_one_relay_in_use(&mut self) {
        let in_use: Vec<SocketAddr> = self.in_use().into_values().flatten().collect();
        let draw = rendezvous_weight(SEED, self.step) as usize;
        let until = self.step + FAILURE_STEPS;
        self.dead.insert(in_use[draw % in_use.len()], until);
    }

    fn advance(&mut self) {
        self.step += 1;
        self.now += STEP;
        let step = self.step;
        self.dead.retain(|_, until| *until > step);
        for entry in &mut self.entries {
            if !self.dead.contains_key(&entry.relay) {
                entry.without_relay = Duration::ZERO;
                if step.is_multiple_of(REVIEW_STEPS) {
                    let current = Some(entry.relay);
                    let selected = entry.selector.select(&self.candidates, current, self.now);
                    entry.relay = selected.expect("a relay");
                }
                continue;
            }
            entry.without_relay += STEP;
            entry.max_without_relay = entry.max_without_relay.max(entry.without_relay);
            let since_switch = entry.without_relay.as_millis() % RELAY_TIMEOUT.as_millis();
            if since_switch == 0 {
                entry.selector.on_failure(entry.relay, self.now);
                let selected = entry.selector.select(&self.candidates, None, self.now);
                entry.relay = selected.expect("a relay");
            }
        }
    }

    /// Returns the relays that the entries of each zone use.
    fn in_use(&self) -> BTreeMap<usize, BTreeSet<SocketAddr>> {
        let mut relays: BTreeMap<usize, BTreeSet<SocketAddr>> = BTreeMap::new();
        for entry in &self.entries {
            relays.entry(entry.zone).or_default().insert(entry.relay);
        }
        relays
    }
}

#[test]
fn entries_replace_failed_relays_quickly_and_share_few_after_recovery() {
    let mut fleet = Fleet::new();
    for step in 0..FAULT_STEPS {
        if step % FAULT_INTERVAL_STEPS == 0 {
            fleet.kill_one_relay_in_use();
        }
        fleet.advance();
    }
    let longest = fleet.entries.iter().map(|e| e.max_without_relay).max();
    assert!(longest <= Some(RELAY_TIMEOUT * 3), "{longest:?}");
    for _ in 0..RECOVERY_STEPS {
        fleet.advance();
    }
    for (zone, relays) in fleet.in_use() {
        assert!(relays.len() <= RELAYS_PER_ZONE, "zone {zone}: {relays:?}");
    }
}
