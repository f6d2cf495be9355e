use {
    chalkcart_state::published::Record,
    chalkcart_transport::metrics::IngressMetrics,
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
    },
};

/// Maximum number of keys that are counted separately; further ones are counted as [`OTHERS`].
const MAX_KEYS: usize = 256;
/// The key that records beyond [`MAX_KEYS`] are counted under.
const OTHERS: &str = "(others)";

/// Counts and logs records that can't be decoded. Only the first, second, fourth and so on of
/// each key are logged, since other writers may rewrite such records at any rate.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    counts: Mutex<HashMap<String, u64>>,
}

impl UnreadableRecords {
    /// Counts and logs a record if it can't be decoded.
    pub fn record_if_unreadable(&self, record: &Record, metrics: &IngressMetrics) {
        let Record::Unreadable {
            key,
            cause,
            problem,
            ..
        } = record
        else {
            return;
        };
        metrics.on_unreadable(cause.code());
        let times = self.count(key);
        if times.is_power_of_two() {
            log::error!(
                key = key.as_str(),
                cause = cause.code(),
                problem = problem.as_str(),
                times = times;
                "store: {key} can't be read"
            );
        }
    }

    fn count(&self, key: &str) -> u64 {
        // No holder panics in the middle of an update.
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let key = match counts.contains_key(key) || counts.len() < MAX_KEYS {
            true => key,
            false => OTHERS,
        };
        let count = counts.entry(key.to_string()).or_default();
        *count += 1;
        *count
    }
}
