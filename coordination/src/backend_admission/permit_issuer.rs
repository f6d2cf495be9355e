use {
    super::MIN_PROBE_RATE_PER_S,
    chalkcart_protocol::peer::AdmissionReport,
    chalkcart_state::ids::BoxName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Permits accumulate for at most this long, beyond one.
const MAX_ACCUMULATION: Duration = Duration::from_millis(200);
/// An entry that still wants permits repeats its request within this time; one that doesn't no
/// longer competes with the others.
const REQUEST_VALID_FOR: Duration = Duration::from_millis(450);
/// Entries that request nothing for this long are removed.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Permit request of one entry.
#[derive(Debug)]
struct PendingRequest {
    wanted: u32,
    priority: u8,
    received_at: Instant,
    last_granted_at: Option<Instant>,
}

/// Issues permits to send requests to a rate-limited engine.
///
/// A token bucket bounds the permits issued in any interval. It starts empty, since a previous
/// issuer may have issued permits just before.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    tokens: f64,
    refilled_at: Option<Instant>,
    entries: HashMap<BoxName, PendingRequest>,
}

impl PermitIssuer {
    /// Returns the number of permits granted to an entry now, and the time until its next
    /// grant.
    pub fn issue(&mut self, per_s: f64, report: &AdmissionReport, now: Instant) -> (u32, Duration) {
        let per_s = per_s.max(MIN_PROBE_RATE_PER_S);
        self.refill(per_s, f64::from(report.unused), now);
        self.record_request(report, now);
        if report.wanted == 0 {
            return (0, Duration::ZERO);
        }
        let (rank, competing) = self.rank_of(&report.entry, now);
        let available = self.tokens.max(0.0) as u32;
        let granted = match competing {
            1 => report.wanted.min(available),
            _ => u32::from(rank < available),
        };
        let mut ahead = rank;
        if granted > 0 {
            self.tokens -= f64::from(granted);
            if let Some(entry) = self.entries.get_mut(&report.entry) {
                entry.wanted -= granted;
                entry.last_granted_at = Some(now);
            }
            // the grant moves this entry to the end of the order
            ahead = competing - 1;
        }
        let missing = (f64::from(ahead + 1) - self.tokens).max(0.0);
        (granted, Duration::from_secs_f64(missing / per_s))
    }

    fn refill(&mut self, per_s: f64, returned: f64, now: Instant) {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let due = now.saturating_duration_since(refilled_at).as_secs_f64() * per_s;
        let max_tokens = 1.0 + per_s * MAX_ACCUMULATION.as_secs_f64();
        self.tokens = (self.tokens + due + returned).min(max_tokens);
    }

    fn record_request(&mut self, report: &AdmissionReport, now: Instant) {
        self.entries
            .retain(|_, e| now.saturating_duration_since(e.received_at) < ENTRY_TTL);
        let known = self.entries.get(&report.entry);
        let last_granted_at = known.and_then(|known| known.last_granted_at);
        let request = PendingRequest {
            wanted: report.wanted,
            priority: report.priority,
            received_at: now,
            last_granted_at,
        };
        self.entries.insert(report.entry.clone(), request);
    }

    /// Returns how many entries are served before this one, and how many compete in all. The
    /// most urgent go first, then those whose last grant is the oldest.
    fn rank_of(&self, entry: &BoxName, now: Instant) -> (u32, u32) {
        let competing = self.entries.iter().filter(|(_, e)| {
            e.wanted > 0 && now.saturating_duration_since(e.received_at) < REQUEST_VALID_FOR
        });
        let sort_key =
            |name: &BoxName, e: &PendingRequest| (e.priority, e.last_granted_at, name.clone());
        let Some(own) = self.entries.get(entry).map(|own| sort_key(entry, own)) else {
            return (0, 0);
        };
        let keys: Vec<_> = competing.map(|(name, e)| sort_key(name, e)).collect();
        let ahead = keys.iter().filter(|other| **other < own).count();
        (ahead as u32, keys.len() as u32)
    }
}
