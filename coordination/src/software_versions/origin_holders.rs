use {
    crate::membership::{rendezvous_weight, stable_hash},
    std::{net::SocketAddr, sync::Arc},
};

/// Number of sidecars that keep an origin.
const TOLD: usize = 3;
/// Number of sidecars that are asked: more than keep it, since engines may have joined or left
/// in between.
const ASKED_OF_STAYING: usize = 6;
const ASKED_OF_LEAVING: usize = 3;

/// Ranks engines, whose sidecars keep the origins of streams, by the client's attempt. All
/// entries rank them in the same order, unless their lists differ.
#[derive(Debug, Default)]
pub struct OriginHolders {
    engines: Arc<ListedEngines>,
    staying: RankedEngines,
    leaving: RankedEngines,
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
        self.leaving = RankedEngines::new(&engines.leaving);
        self.engines = engines;
    }

    /// Returns the engines whose sidecars are to keep an origin.
    pub fn told(&self, request: &str) -> Vec<SocketAddr> {
        let mut told = self.staying.first(TOLD, request);
        told.extend(self.leaving.first(TOLD - told.len(), request));
        told
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
