use {
    crate::membership::{rendezvous_weight, stable_hash},
    std::{net::SocketAddr, sync::Arc},
};

/// Number of sidecars that keep an origin.
pub const HOLDERS_TOLD: usize = 3;
/// Number of sidecars that are asked: more than keep it, since engines may have joined or left
/// in between.
pub const HOLDERS_ASKED: usize = 6;

/// Ranks engines, whose sidecars keep the origins of streams, by the client's attempt. All
/// entries rank them in the same order, unless their lists differ.
#[derive(Debug, Default)]
pub struct OriginHolders {
    engines: Arc<Vec<SocketAddr>>,
    /// Hashes of the engines' addresses.
    hashes: Vec<u64>,
}

impl OriginHolders {
    pub fn set_engines(&mut self, engines: Arc<Vec<SocketAddr>>) {
        if Arc::ptr_eq(&self.engines, &engines) {
            return;
        }
        let hashes = engines.iter().map(|e| stable_hash(&e.to_string()));
        self.hashes = hashes.collect();
        self.engines = engines;
    }

    /// Returns the first engines in the order of an attempt.
    pub fn first(&self, count: usize, request: &str) -> Vec<SocketAddr> {
        let key = stable_hash(request);
        let hashes = self.hashes.iter().enumerate();
        let mut ranked: Vec<(u64, usize)> = hashes
            .map(|(at, hash)| (rendezvous_weight(key, *hash), at))
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, at)| self.engines[at]).collect()
    }
}
