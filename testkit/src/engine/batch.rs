//! Continuous batching: each step generates one token for every request in the batch.

use {
    super::{
        engine_state::{EngineState, SharedEngine},
        text::expected_token,
    },
    crate::serving::lock,
    chalkcart_state::ids::RequestId,
    chalkcart_transport::engine::{AdapterBody, EventBody},
    std::time::{Duration, Instant},
    tokio::time::{sleep, sleep_until},
};

/// Poll interval of an engine without requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(2);

pub async fn run(engine: SharedEngine) {
    let mut next = Instant::now();
    loop {
        let step_time = lock(&engine).step();
        match step_time {
            Some(step_time) => {
                // the next step starts when the previous one should have ended, so timer delays
                // don't add up
                next = (next + step_time).max(Instant::now() - step_time);
                sleep_until(next.into()).await;
            }
            None => {
                sleep(IDLE_INTERVAL).await;
                next = Instant::now();
            }
        }
    }
}

impl EngineState {
    /// Executes one step and returns its duration, or `None` if no request is running.
    fn step(&mut self) -> Option<Duration> {
        let batch: Vec<RequestId> = self
            .queue
            .iter()
            .take(self.settings.max_batch as usize)
            .cloned()
            .collect();
        self.record_batch_size(batch.len());
        if batch.is_empty() {
            return None;
        }
        self.steps += 1;
        self.step_requests += batch.len() as u64;
        for request in &batch {
            self.advance(request);
        }
        let per_request = self.settings.step_per_request * batch.len() as u32;
        Some(self.settings.step + per_request)
    }

    fn advance(&mut self, request: &str) {
        let wrong_version = self.faults.wrong_version;
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        if entry.prefill_left > 0 {
            entry.prefill_left -= 1;
            return;
        }
        let body = &entry.body;
        let index = body.generated.len() + entry.events.len();
        if index < body.max_tokens as usize {
            let adapter = &body.adapter;
            let text = expected_token(&adapter.adapter, adapter.version, &body.prompt, index);
            entry.push(EventBody::Token(text));
        }
        let generated = entry.body.generated.len() + entry.events.len();
        if generated >= entry.body.max_tokens as usize {
            let mut used_adapter: AdapterBody = entry.body.adapter.clone();
            used_adapter.version += u32::from(wrong_version);
            self.end(request, EventBody::Finished(used_adapter));
        }
    }

    fn record_batch_size(&mut self, running: usize) {
        let changed = self
            .batch_size_history
            .last()
            .is_none_or(|(_, n)| *n != running);
        if changed {
            self.batch_size_history.push((Instant::now(), running));
        }
    }
}
