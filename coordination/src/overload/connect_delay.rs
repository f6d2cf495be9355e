use {
    super::StandingDelay,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of connects that are compared.
const SAMPLES: usize = 6;
const MAX_AGE: Duration = Duration::from_secs(2);
/// Peers whose shortest connect is kept; all are forgotten beyond it.
const MAX_PEERS: usize = 8_192;
/// Part of the excess by which the shortest connect rises with each longer one, since the way to
/// a peer may have become longer.
const RISE: u32 = 64;

/// The time by which connects to all peers take longer than they did at best. A handshake passes
/// the link in both directions, so this is the time that packets wait there, and the time that the
/// process takes to notice.
#[derive(Debug, Clone)]
pub struct ConnectDelay {
    shortest: HashMap<SocketAddr, Duration>,
    /// Sum of `shortest`.
    sum: Duration,
    standing: StandingDelay,
}

impl Default for ConnectDelay {
    fn default() -> Self {
        Self {
            shortest: HashMap::new(),
            sum: Duration::ZERO,
            standing: StandingDelay::new(SAMPLES, MAX_AGE),
        }
    }
}

impl ConnectDelay {
    /// Records how long a connect to a peer took. The first one to a peer is compared with the
    /// mean of the others.
    pub fn record(&mut self, now: Instant, peer: SocketAddr, took: Duration) {
        if self.shortest.len() >= MAX_PEERS && !self.shortest.contains_key(&peer) {
            self.shortest.clear();
            self.sum = Duration::ZERO;
        }
        let shortest = match self.shortest.get(&peer) {
            Some(shortest) => *shortest,
            None => self.mean().map_or(took, |mean| mean.min(took)),
        };
        let excess = took.saturating_sub(shortest);
        let shortest = took.min(shortest + excess / RISE);
        let replaced = self.shortest.insert(peer, shortest);
        self.sum = (self.sum + shortest).saturating_sub(replaced.unwrap_or_default());
        self.standing.record(now, excess);
    }

    /// Returns the mean of the shortest connects to all peers, if enough are known.
    fn mean(&self) -> Option<Duration> {
        let peers = self.shortest.len();
        (peers >= SAMPLES).then(|| self.sum / peers as u32)
    }

    /// Returns the delay of all recent connects, or zero if there were few.
    pub fn get(&self, now: Instant) -> Duration {
        self.standing.get(now)
    }
}
