//! a simulated fleet whose relays fail: no I/O, one seed, time in steps

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
/// an entry leaves a relay after this silence
const SILENCE: Duration = Duration::from_millis(700);
const REVIEW_STEPS: u64 = 20;
/// relays fail one after the other for this long, each for a while
const FAULT_STEPS: u64 = 300;
const FAULT_EVERY: u64 = 5;
const DEAD_STEPS: u64 = 15;
/// a relay rests for 5 s, and entries look for a better one each 2 s
const CALM_STEPS: u64 = 80;

struct Entry {
    zone: usize,
    choice: RelaySelector,
    relay: SocketAddr,
    silent: Duration,
    longest_silence: Duration,
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
            let mut choice = RelaySelector::new(&format!("e{n}"), &format!("z{zone}"));
            let relay = choice.select(&candidates, None, now).expect("a relay");
            Entry {
                zone,
                choice,
                relay,
                silent: Duration::ZERO,
                longest_silence: Duration::ZERO,
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

    /// one of the relays in use dies
    fn kill_one(&mut self) {
        let in_use: Vec<SocketAddr> = self.in_use().into_values().flatten().collect();
        let draw = rendezvous_weight(SEED, self.step) as usize;
        let until = self.step + DEAD_STEPS;
        self.dead.insert(in_use[draw % in_use.len()], until);
    }

    fn pass(&mut self) {
        self.step += 1;
        self.now += STEP;
        let step = self.step;
        self.dead.retain(|_, until| *until > step);
        for entry in &mut self.entries {
            if !self.dead.contains_key(&entry.relay) {
                entry.silent = Duration::ZERO;
                if step.is_multiple_of(REVIEW_STEPS) {
                    let present = Some(entry.relay);
                    let chosen = entry.choice.select(&self.candidates, present, self.now);
                    entry.relay = chosen.expect("a relay");
                }
                continue;
            }
            entry.silent += STEP;
            entry.longest_silence = entry.longest_silence.max(entry.silent);
            let here = entry.silent.as_millis() % SILENCE.as_millis();
            if here == 0 {
                entry.choice.on_failure(entry.relay, self.now);
                let chosen = entry.choice.select(&self.candidates, None, self.now);
                entry.relay = chosen.expect("a relay");
            }
        }
    }

    /// relays that the entries of each zone use
    fn in_use(&self) -> BTreeMap<usize, BTreeSet<SocketAddr>> {
        let mut relays: BTreeMap<usize, BTreeSet<SocketAddr>> = BTreeMap::new();
        for entry in &self.entries {
            relays.entry(entry.zone).or_default().insert(entry.relay);
        }
        relays
    }
}

#[test]
fn entries_are_never_long_without_a_relay_and_come_back_to_few() {
    let mut fleet = Fleet::new();
    for step in 0..FAULT_STEPS {
        if step % FAULT_EVERY == 0 {
            fleet.kill_one();
        }
        fleet.pass();
    }
    let longest = fleet.entries.iter().map(|e| e.longest_silence).max();
    assert!(longest <= Some(SILENCE * 3), "{longest:?}");
    for _ in 0..CALM_STEPS {
        fleet.pass();
    }
    for (zone, relays) in fleet.in_use() {
        assert!(relays.len() <= RELAYS_PER_ZONE, "zone {zone}: {relays:?}");
    }
}
