use {
    chalkcart_state::published::Record,
    chalkcart_transport::metrics::IngressMetrics,
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
    },
};

/// keys that are counted each by itself; all further ones are counted as one
const MOST_KEYS: usize = 256;
/// the key under which those are counted
const OTHERS: &str = "(others)";

/// Records that can't be read, which other writers may write anew at any rate: a line for
/// the first of a key, the second, the fourth and so on, and a count by cause.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    times: Mutex<HashMap<String, u64>>,
}

impl UnreadableRecords {
    /// count a record, if it can't be read
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
        // no holder panics halfway through a change
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        let key = match times.contains_key(key) || times.len() < MOST_KEYS {
            true => key,
            false => OTHERS,
        };
        let times = times.entry(key.to_string()).or_default();
        *times += 1;
        *times
    }
}
