use {
    crate::membership::{rendezvous_weight, stable_hash},
    std::{collections::HashSet, net::SocketAddr, sync::Arc},
};

/// Number of sidecars that keep an origin.
const TOLD: usize = 3;
/// Number of sidecars from which those are chosen, as some may not answer.
const CANDIDATES: usize = 6;
/// Number of sidecars that are asked: more than keep it, since engines may have joined or left
/// in between.
const ASKED_OF_STAYING: usize = 9;
const ASKED_OF_LEAVING: usize = 3;

/// Ranks engines, whose sidecars keep the origins of streams, by the client's attempt. All
/// entries rank them in the same order, unless their lists differ.
#[derive(Debug, Default)]
pub struct OriginHolders {
    engines: Arc<ListedEngines>,
    staying: RankedEngines,
    leaving: RankedEngines,
    staying_addrs: HashSet<SocketAddr>,
    leaving_addrs: HashSet<SocketAddr>,
    /// Number of engines that have joined so far.
    joined: u64,
}

/// The addresses of the listed engines.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ListedEngines {
    pub staying: Vec<SocketAddr>,
    /// Those whose sidecars are expected to end soon.
    pub leaving: Vec<SocketAddr>,
}

/// Engines with the hashes of their addresses.
#[derive(Debug, Default)]
struct RankedEngines(Vec<(SocketAddr, u64)>);

impl OriginHolders {
    pub fn set_engines(&mut self, engines: Arc<ListedEngines>) {
        if Arc::ptr_eq(&self.engines, &engines) {
            return;
        }
        self.staying = RankedEngines::new(&engines.staying);
        let before = std::mem::take(&mut self.staying_addrs);
        self.staying_addrs = engines.staying.iter().copied().collect();
        self.joined += self.staying_addrs.difference(&before).count() as u64;
        self.leaving_addrs = engines.leaving.iter().copied().collect();
        self.leaving = RankedEngines::new(&engines.leaving);
        self.engines = engines;
    }

    /// Returns the engines whose sidecars are to keep an origin.
    pub fn told(&self, request: &str) -> Vec<SocketAddr> {
        let mut told = self.candidates(request);
        told.truncate(TOLD);
        told
    }

    /// Returns the engines whose sidecars may keep an origin, the first ones before the others:
    /// those of leaving engines only if there are too few.
    pub fn candidates(&self, request: &str) -> Vec<SocketAddr> {
        let mut engines = self.staying.first(CANDIDATES, request);
        let lacking = TOLD.saturating_sub(engines.len());
        engines.extend(self.leaving.first(lacking, request));
        engines
    }

    /// Returns the number of engines that have joined so far.
    pub fn joined(&self) -> u64 {
        self.joined
    }

    /// Returns whether so many have joined since that number that one of those told may not be asked.
    pub fn may_be_unasked_since(&self, joined: u64) -> bool {
        self.joined - joined.min(self.joined) > (ASKED_OF_STAYING - CANDIDATES) as u64
    }

    /// Returns how many more sidecars are to keep an origin that those of `told` keep: three of
    /// engines that stay, or of leaving ones where there are too few.
    pub fn lacking<'a>(&self, told: impl Iterator<Item = &'a SocketAddr>) -> usize {
        let (mut staying, mut leaving) = (0, 0);
        for engine in told {
            staying += usize::from(self.staying_addrs.contains(engine));
            leaving += usize::from(self.leaving_addrs.contains(engine));
        }
        let stay = self.staying_addrs.len();
        let listed = stay + self.leaving_addrs.len();
        let is_enough = staying >= stay.min(TOLD) && staying + leaving >= listed.min(TOLD);
        match is_enough {
            true => 0,
            false => TOLD - staying.min(TOLD),
        }
    }

    /// Returns the engines whose sidecars are asked for an origin.
    pub fn asked(&self, request: &str) -> Vec<SocketAddr> {
        let mut asked = self.staying.first(ASKED_OF_STAYING, request);
        asked.extend(self.leaving.first(ASKED_OF_LEAVING, request));
        asked
    }
}

impl RankedEngines {
    fn new(engines: &[SocketAddr]) -> Self {
        let hashed = engines.iter().map(|e| (*e, stable_hash(&e.to_string())));
        Self(hashed.collect())
    }

    /// Returns the first engines in the order of an attempt.
    fn first(&self, count: usize, request: &str) -> Vec<SocketAddr> {
        let key = stable_hash(request);
        let weighted = self.0.iter();
        let mut ranked: Vec<(u64, SocketAddr)> = weighted
            .map(|(engine, hash)| (rendezvous_weight(key, *hash), *engine))
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, engine)| engine).collect()
    }
}
