//! Guards against a stream that goes on at an engine of another software version, as its entry was
//! out of step for some seconds while that version joined, or joined and left.

use {
    chalkcart_coordination::software_versions::{SoftwareVersions, VersionMix},
    chalkcart_state::{backends::Backend, published::Record},
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "s";
const MEMORY: Duration = Duration::from_secs(30);
const SEED: u64 = 93;
const CASES: usize = 400;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn backend(name: &str, version: &str) -> Backend {
    Backend {
        id: name.into(),
        service: SERVICE.to_string(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_string(),
        slots: 8,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: Some(version.to_string()),
    }
}

fn one(version: &str) -> VersionMix {
    VersionMix::One(version.to_string())
}

/// An entry that has had a list with one version for the whole memory, and knows that it was the
/// newest at the moment returned.
fn settled(now: Instant) -> (SoftwareVersions, Instant) {
    let mut versions = SoftwareVersions::new(true);
    versions.on_list(&[backend("old", "v1")], MEMORY, now);
    let later = now + 2 * MEMORY;
    versions.on_current(later);
    assert_eq!(versions.mix(SERVICE, MEMORY, later), one("v1"));
    (versions, later)
}

fn update(
    versions: &mut SoftwareVersions,
    records: &[Record],
    list: &[Backend],
    is_full: bool,
    now: Instant,
) {
    versions.on_update(records, is_full, now);
    versions.on_current(now);
    versions.on_list(list, MEMORY, now);
}

/// Guards against the list of before a freeze, from which one version is concluded.
#[test]
fn a_list_of_before_the_request_proves_no_single_version() {
    let (versions, at) = settled(Instant::now());
    for age in [1, 300, 2_000, 4_900] {
        let now = at + ms(age);
        let mix = versions.mix_for(SERVICE, now, MEMORY, now);
        assert_eq!(mix, VersionMix::NotKnown, "{age} ms");
    }
    let mut versions = versions;
    let (arrived, now) = (at + ms(2_000), at + ms(2_010));
    versions.on_current(arrived);
    assert_eq!(versions.mix_for(SERVICE, arrived, MEMORY, now), one("v1"));
}

/// Guards against a version that no list has had, as its engines joined and left in one update.
#[test]
fn a_version_that_joined_and_left_within_an_update_has_served() {
    let (mut versions, at) = settled(Instant::now());
    let now = at + ms(4_500);
    let old = backend("old", "v1");
    let records = [
        Record::Backend(backend("new", "v2")),
        Record::BackendGone("new".to_string()),
    ];
    update(
        &mut versions,
        &records,
        std::slice::from_ref(&old),
        false,
        now,
    );
    assert_eq!(
        versions.mix_for(SERVICE, now, MEMORY, now),
        VersionMix::Several
    );
}

/// Guards against a relay that tells only the end of a back end which the entry has not known.
#[test]
fn the_end_of_an_unknown_back_end_leaves_the_versions_unknown() {
    let (mut versions, at) = settled(Instant::now());
    let now = at + ms(4_500);
    let old = backend("old", "v1");
    let records = [Record::BackendGone("new".to_string())];
    update(
        &mut versions,
        &records,
        std::slice::from_ref(&old),
        false,
        now,
    );
    assert_eq!(
        versions.mix_for(SERVICE, now, MEMORY, now),
        VersionMix::NotKnown
    );
    // that of a known one tells nothing new
    let (mut versions, at) = settled(Instant::now());
    let (now, kept) = (at + ms(4_500), backend("kept", "v1"));
    update(&mut versions, &[], &[old, kept.clone()], false, at);
    let records = [Record::BackendGone("old".to_string())];
    update(&mut versions, &records, &[kept], false, now);
    assert_eq!(versions.mix_for(SERVICE, now, MEMORY, now), one("v1"));
}

/// Guards against a whole list after a time in which nothing was read.
#[test]
fn a_whole_list_tells_nothing_of_the_time_before_it() {
    for (gap, expected) in [(1_500, one("v1")), (4_500, VersionMix::NotKnown)] {
        let (mut versions, at) = settled(Instant::now());
        let now = at + ms(gap);
        let old = backend("old", "v1");
        let records = [Record::Backend(old.clone())];
        update(&mut versions, &records, &[old], true, now);
        let mix = versions.mix_for(SERVICE, now, MEMORY, now);
        assert_eq!(mix, expected, "{gap} ms");
    }
}

/// A list with its changes, as a store tells them to one entry.
#[derive(Default)]
struct Store {
    listed: BTreeMap<String, Backend>,
    /// Changes that the entry has not read.
    unread: Vec<Record>,
    /// When each version was listed last.
    served: BTreeMap<String, Instant>,
    joined: u32,
}

impl Store {
    fn join(&mut self, version: &str) {
        self.joined += 1;
        let backend = backend(&format!("e{}", self.joined), version);
        self.unread.push(Record::Backend(backend.clone()));
        self.listed.insert(backend.id.name.clone(), backend);
    }
    fn leave(&mut self, g: &mut Gen) {
        let names: Vec<String> = self.listed.keys().cloned().collect();
        let Some(name) = g.choose(&names).filter(|_| names.len() > 1) else {
            return;
        };
        self.listed.remove(name);
        self.unread.push(Record::BackendGone(name.clone()));
    }
    fn pass(&mut self, now: Instant) {
        for backend in self.listed.values() {
            let version = backend.software_version.clone().unwrap_or_default();
            self.served.insert(version, now);
        }
    }
    /// The versions at which a stream may have begun that is taken up now.
    fn recent(&self, now: Instant) -> BTreeSet<String> {
        let recent = self.served.iter().filter(|(_, at)| now - **at < MEMORY);
        recent.map(|(version, _)| version.clone()).collect()
    }
    fn read(&mut self, versions: &mut SoftwareVersions, kind: u8, now: Instant) {
        let list: Vec<Backend> = self.listed.values().cloned().collect();
        let unread = std::mem::take(&mut self.unread);
        let (records, is_full) = match kind {
            // the history is lost
            0 => (list.iter().cloned().map(Record::Backend).collect(), true),
            // a relay tells the last change of each back end
            1 => {
                let mut last: BTreeMap<String, Record> = BTreeMap::new();
                for record in unread {
                    let name = match &record {
                        Record::Backend(b) => b.id.name.clone(),
                        Record::BackendGone(name) => name.clone(),
                        _ => continue,
                    };
                    last.insert(name, record);
                }
                (last.into_values().collect(), false)
            }
            _ => (unread, false),
        };
        update(versions, &records, &list, is_full, now);
    }
}

/// Guards against any times at which an entry is out of step, while versions join and leave, after
/// which it concludes a single version though streams began at another.
#[test]
fn one_version_is_concluded_only_if_no_other_served() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    let mut concluded = 0;
    for case in 0..CASES {
        let mut now = Instant::now();
        let mut store = Store::default();
        store.join("v1");
        let mut versions = SoftwareVersions::new(true);
        store.read(&mut versions, 0, now);
        for _ in 0..120 {
            match u8::arbitrary(&mut g) % 24 {
                0 => store.join(if bool::arbitrary(&mut g) { "v1" } else { "v2" }),
                1 | 2 => store.leave(&mut g),
                _ => {}
            }
            // engines are listed for two seconds at least
            let steps = 1 + usize::from(u8::arbitrary(&mut g) % 4);
            for _ in 0..steps {
                now += ms(600);
                store.pass(now);
            }
            let kind = u8::arbitrary(&mut g) % 10;
            // out of step for some steps in a row
            if u8::arbitrary(&mut g) % 3 > 0 {
                store.read(&mut versions, kind, now);
            }
            let arrived = now;
            if let VersionMix::One(version) = versions.mix_for(SERVICE, arrived, MEMORY, now) {
                concluded += 1;
                let served = store.recent(now);
                assert_eq!(served, BTreeSet::from([version]), "case {case}");
            }
        }
    }
    assert!(concluded > 1_000, "{concluded}");
}
