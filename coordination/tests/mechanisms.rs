//! Dispatching with each of the features switched off.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{Decision, DispatchEvent, DueDemands, SendOutcome, Ticket},
        features::FeatureSwitches,
    },
    dispatch_fixture::*,
    quickcheck::{Gen, QuickCheck},
    std::collections::{BTreeMap, BTreeSet},
};

const SEED: u64 = 19;
const STEPS: usize = 120;
const CASES: u64 = 25;
/// adapters that an engine holds, and requests that it runs, as the fixture lists it
const ADAPTER_SLOTS: usize = 2;
const SLOTS: usize = 4;

/// Returns the settings with each switch off, and with all on.
fn variants() -> Vec<FeatureSwitches> {
    let on = FeatureSwitches::default();
    let off: [fn(&mut FeatureSwitches); 18] = [
        |_| {},
        |m| m.observed_rate = false,
        |m| m.prompts_of_all = false,
        |m| m.return_home = false,
        |m| m.urgency_by_size = false,
        |m| m.loads_by_speed = false,
        |m| m.copies_weighed = false,
        |m| m.copies = false,
        |m| m.several_homes = false,
        |m| m.adapter_affinity = false,
        |m| m.early_refusals = false,
        |m| m.stream_pacing = false,
        |m| m.engine_performance = false,
        |m| m.stream_recovery = false,
        |m| m.limit_shares_by_demand = false,
        |m| m.urgency_by_route = false,
        |m| m.account_shares = false,
        |m| m.spread_retries = false,
    ];
    off.iter()
        .map(|switch| {
            let mut switches = on;
            switch(&mut switches);
            switches
        })
        .collect()
}

/// Engines that load the requested adapters, and the requests that run there.
struct Simulation {
    fixture: Fixture,
    /// adapters that each engine holds, the oldest first
    held: BTreeMap<u8, Vec<String>>,
    running: BTreeMap<Ticket, (String, String)>,
    waiting: BTreeMap<Ticket, String>,
    next: Ticket,
}

impl Simulation {
    fn new(switches: FeatureSwitches) -> Self {
        let mut fixture = fixture_with_views();
        fixture.update_settings(|settings| settings.features = switches);
        Self {
            fixture,
            held: (1..=3).map(|number| (number, Vec::new())).collect(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 1,
        }
    }

    fn step(&mut self, (kind, value): (u8, u8)) {
        let decided = match kind % 4 {
            0 | 1 => {
                let name = format!("a{}", value % 6);
                let mut request = self.fixture.new_request(ENGINES, Some(&name));
                request.prompt_tokens = 100 * u32::from(value);
                self.next += 1;
                self.waiting.insert(self.next, name);
                self.fixture.submit(self.next, request)
            }
            2 => self.end_one(value),
            _ => {
                let decided = self.fixture.advance(ms(u64::from(value)));
                self.check(decided);
                self.load_requested();
                Vec::new()
            }
        };
        self.check(decided);
    }

    fn end_one(&mut self, value: u8) -> Vec<(Ticket, Decision)> {
        let nth = usize::from(value) % self.running.len().max(1);
        let Some(ticket) = self.running.keys().nth(nth).copied() else {
            return Vec::new();
        };
        self.running.remove(&ticket);
        self.fixture.handle(DispatchEvent::ResponseStarted(ticket));
        let outcome = SendOutcome::Answered;
        self.fixture
            .handle(DispatchEvent::SendEnded { ticket, outcome })
    }

    /// Loads the requested adapters on each engine that has a free slot.
    fn load_requested(&mut self) {
        for (addr, demand) in self
            .fixture
            .dispatcher
            .demands(DueDemands::All, self.fixture.now)
        {
            let number = addr
                .ip()
                .to_string()
                .split('.')
                .next_back()
                .unwrap()
                .parse();
            let number: u8 = number.unwrap();
            let id = demand.backend.clone();
            for wanted in demand.wanted {
                let in_use: BTreeSet<&String> = self.running.values().map(|(_, a)| a).collect();
                let held = self.held.get_mut(&number).expect("an engine");
                if held.len() >= ADAPTER_SLOTS {
                    let Some(idle) = held.iter().position(|a| !in_use.contains(a)) else {
                        continue;
                    };
                    held.remove(idle);
                }
                if !held.contains(&wanted.adapter.adapter) {
                    held.push(wanted.adapter.adapter.clone());
                }
            }
            let rows: Vec<(&str, u64)> = self.held[&number].iter().map(|a| (&**a, 1)).collect();
            let decided = self.fixture.view(number, view(id.as_str(), &rows));
            self.check(decided);
        }
    }

    fn check(&mut self, decided: Vec<(Ticket, Decision)>) {
        for (ticket, decision) in decided {
            let name = self
                .waiting
                .remove(&ticket)
                .expect("one decision for each request");
            let Decision::Send(assignment) = decision else {
                continue;
            };
            let number: u8 = assignment
                .backend
                .as_str()
                .trim_start_matches("engines-")
                .parse()
                .unwrap();
            assert!(
                self.held[&number].contains(&name),
                "the engine holds {name}"
            );
            self.running
                .insert(ticket, (assignment.backend.to_string(), name));
            let there = self
                .running
                .values()
                .filter(|(b, _)| assignment.backend == b.as_str());
            assert!(there.count() <= SLOTS, "no more requests than slots");
        }
    }
}

#[test]
fn requests_go_only_where_they_can_run_and_each_gets_one_decision() {
    fn check(steps: Vec<(u8, u8)>) -> bool {
        for switches in variants() {
            let mut simulation = Simulation::new(switches);
            steps.iter().for_each(|step| simulation.step(*step));
            // waiting requests get a decision in the end
            for _ in 0..20 {
                let decided = simulation.fixture.advance(ms(200));
                simulation.check(decided);
            }
            assert!(
                simulation.waiting.is_empty(),
                "{switches}: {:?}",
                simulation.waiting
            );
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(CASES)
        .quickcheck(check as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn switches_that_are_off_are_listed() {
    let mut switches = FeatureSwitches::default();
    assert_eq!(switches.to_string(), "all on");
    switches.copies = false;
    assert_eq!(switches.to_string(), "off: copies");
}
