use {
    super::random::SeededRandom,
    chalkcart_state::backends::Backend,
    std::{net::SocketAddr, time::Duration},
};

pub const SERVICE: &str = "engines";
/// Streams begin in this time before the kill; none runs longer.
pub const STREAM_TIME: Duration = Duration::from_secs(12);

/// Where some sidecars are killed, it is each one after so many.
const SOME: usize = 5;

/// What is killed, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Case {
    /// All entries, and some sidecars.
    Entries,
    /// All sidecars, and some seconds later all entries.
    SidecarsBefore,
    /// All entries and all sidecars at one moment.
    Both,
    /// Any of these, shortly before, within or after a release.
    Release,
    /// All entries, or all entries and sidecars; the first list is behind.
    ListBehind,
}

pub const CASES: [Case; 5] = [
    Case::Entries,
    Case::SidecarsBefore,
    Case::Both,
    Case::Release,
    Case::ListBehind,
];

/// How versions come and leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Layout {
    One,
    /// Both all the time.
    Two,
    /// The engines of one are replaced by those of the other.
    Replaced,
    /// The other one is listed later; both stay.
    Joined,
    /// Both, until the engines of one leave.
    Left,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub version: &'static str,
    pub listed: Duration,
    pub draining: Option<Duration>,
    pub ends: Option<Duration>,
}

/// What happens in the run of a seed.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub case: Case,
    pub layout: Layout,
    /// Number of entries.
    pub entries: usize,
    pub is_first_start: bool,
    pub engines: Vec<Engine>,
    /// Begin of the first stream.
    pub streams_from: Duration,
    pub entries_killed: Duration,
    pub entries_down: Duration,
    /// When sidecars are killed, and whether all are.
    pub sidecars_killed: Option<Duration>,
    pub are_all_sidecars_killed: bool,
    pub sidecars_down: Duration,
    /// Age of the first list of an entry that has started again.
    pub behind: Duration,
}

impl Scenario {
    pub fn new(seed: u64) -> Self {
        let random = &mut SeededRandom::new(seed);
        let case = CASES[seed as usize % CASES.len()];
        // entries know the versions of their whole memory, or do not
        let streams_from = millis([500, 35_000][random.below(2)]);
        let killed = streams_from + STREAM_TIME;
        let layouts = match case {
            Case::Release | Case::ListBehind => &LAYOUTS[2..],
            _ => &LAYOUTS[..],
        };
        let layout = layouts[random.below(layouts.len())];
        // a list is behind what served only if the entries are not down for long
        let longest_down = if case == Case::ListBehind { 800 } else { 3_000 };
        let down = millis(random.between(300, longest_down));
        let change = match case {
            Case::Release => killed + millis(random.between(0, 10_000)) - millis(8_000),
            Case::ListBehind => killed + millis(random.between(0, 5_000)) - millis(4_000),
            _ => killed - millis(random.between(1_000, 11_500)),
        };
        // mostly the first list is nearly the present one
        let most_behind = [200, 200, 2_000][random.below(3)];
        let behind = match case {
            Case::ListBehind => random.between(500, 5_000),
            _ => random.between(0, most_behind),
        };
        let kind = match case {
            Case::Release => [
                Case::Entries,
                Case::Entries,
                Case::SidecarsBefore,
                Case::Both,
            ][random.below(4)],
            Case::ListBehind => [Case::Entries, Case::Entries, Case::Both][random.below(3)],
            case => case,
        };
        Self {
            seed,
            case,
            layout,
            entries: random.between(3, 5),
            is_first_start: random.chance(0.5),
            engines: engines(layout, change, random),
            streams_from,
            entries_killed: killed,
            entries_down: down,
            sidecars_killed: match kind {
                Case::SidecarsBefore => Some(killed - millis(random.between(2_000, 4_000))),
                Case::Both | Case::Entries => Some(killed),
                _ => None,
            },
            are_all_sidecars_killed: kind != Case::Entries,
            sidecars_down: millis(random.between(300, 1_000)),
            behind: millis(behind),
        }
    }

    pub fn is_sidecar_killed(&self, engine: usize) -> bool {
        self.are_all_sidecars_killed || (engine + self.seed as usize).is_multiple_of(SOME)
    }

    /// Returns whether nobody may know what began before the kill.
    pub fn is_all_killed(&self) -> bool {
        self.sidecars_killed == Some(self.entries_killed) && self.are_all_sidecars_killed
    }

    /// Returns the list that the store has at a time.
    pub fn list(&self, at: Duration) -> Vec<Backend> {
        let listed =
            self.engines.iter().enumerate().filter(|(_, engine)| {
                engine.listed <= at && engine.ends.is_none_or(|end| at < end)
            });
        let list = listed.map(|(number, engine)| Backend {
            id: format!("e-{number}").into(),
            service: SERVICE.to_string(),
            addr: addr(number),
            zone: "z".to_string(),
            slots: 8,
            leaving: engine.draining.is_some_and(|draining| draining <= at),
            slow_start_left: Duration::ZERO,
            models: Vec::new(),
            held: Vec::new(),
            software_version: Some(engine.version.to_string()),
        });
        list.collect()
    }

    /// Returns whether an engine ends after a time, up to another one.
    pub fn has_end_between(&self, after: Duration, until: Duration) -> bool {
        let mut ends = self.engines.iter().filter_map(|engine| engine.ends);
        ends.any(|end| after < end && end <= until)
    }

    /// Returns the times at which the list changes.
    pub fn changes(&self) -> Vec<Duration> {
        let of_engine = |engine: &Engine| [Some(engine.listed), engine.draining, engine.ends];
        let changes = self.engines.iter().flat_map(of_engine).flatten();
        changes.filter(|at| !at.is_zero()).collect()
    }
}

pub const LAYOUTS: [Layout; 5] = [
    Layout::One,
    Layout::Two,
    Layout::Replaced,
    Layout::Joined,
    Layout::Left,
];

fn engines(layout: Layout, change: Duration, random: &mut SeededRandom) -> Vec<Engine> {
    // few engines that stay, so that many origins are kept by those that leave
    let (old, new) = match layout {
        Layout::Left => (random.between(5, 9), random.between(2, 3)),
        _ => (random.between(3, 6), random.between(3, 6)),
    };
    let interval = millis(random.between(0, 500));
    let drain = millis(random.between(300, 2_000));
    let mut engines = Vec::new();
    for number in 0..old {
        let draining = change + interval * number as u32;
        let leaves = matches!(layout, Layout::Replaced | Layout::Left);
        engines.push(Engine {
            version: "v1",
            listed: Duration::ZERO,
            draining: leaves.then_some(draining),
            ends: leaves.then_some(draining + drain),
        });
    }
    for number in 0..new {
        let listed = match layout {
            Layout::One => break,
            Layout::Two | Layout::Left => Duration::ZERO,
            // one is listed before each that leaves
            Layout::Replaced => (change + interval * number as u32).saturating_sub(millis(50)),
            Layout::Joined => change + interval * number as u32,
        };
        engines.push(Engine {
            version: "v2",
            listed,
            draining: None,
            ends: None,
        });
    }
    engines
}

pub fn addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 80))
}

/// Returns the engine with an address.
pub fn engine_at(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("engines have IPv4 addresses"),
    }
}

pub fn millis(ms: usize) -> Duration {
    Duration::from_millis(ms as u64)
}
