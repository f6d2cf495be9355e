use {
    super::StandingDelay,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of steps whose connects are compared.
const STEPS: usize = 6;
/// Connects within a step count as one: a pause of the process delays them all.
const STEP: Duration = Duration::from_millis(25);
const MAX_AGE: Duration = Duration::from_secs(2);
/// Peers from which on a new one is compared with the others.
const MIN_PEERS: usize = 6;
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
    step: Option<Step>,
}

/// The connects of a short time.
#[derive(Debug, Clone, Copy)]
struct Step {
    began: Instant,
    least: Duration,
}

impl Default for ConnectDelay {
    fn default() -> Self {
        Self {
            shortest: HashMap::new(),
            sum: Duration::ZERO,
            standing: StandingDelay::new(STEPS, MAX_AGE),
            step: None,
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
        self.record_excess(now, excess);
    }

    fn record_excess(&mut self, now: Instant, excess: Duration) {
        let step = self.step.get_or_insert(Step {
            began: now,
            least: excess,
        });
        if now.saturating_duration_since(step.began) < STEP {
            step.least = step.least.min(excess);
            return;
        }
        self.standing.record(step.began, step.least);
        *step = Step {
            began: now,
            least: excess,
        };
    }

    /// Returns the mean of the shortest connects to all peers, if enough are known.
    fn mean(&self) -> Option<Duration> {
        let peers = self.shortest.len();
        (peers >= MIN_PEERS).then(|| self.sum / peers as u32)
    }

    /// Returns the delay of all recent connects, or zero if there were few.
    pub fn get(&self, now: Instant) -> Duration {
        self.standing.get(now)
    }
}
