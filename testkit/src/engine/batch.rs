//! the loop that gives each request of the batch one token a step

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

/// pause of an engine without requests
const IDLE: Duration = Duration::from_millis(2);

pub async fn run(engine: SharedEngine) {
    let mut next = Instant::now();
    loop {
        let span = lock(&engine).step();
        match span {
            Some(span) => {
                // steps are laid end to end, so that a late timer costs nothing
                next = (next + span).max(Instant::now() - span);
                sleep_until(next.into()).await;
            }
            None => {
                sleep(IDLE).await;
                next = Instant::now();
            }
        }
    }
}

impl EngineState {
    /// do one step; give the time that it takes, or none if nothing runs
    fn step(&mut self) -> Option<Duration> {
        let batch: Vec<RequestId> = self
            .queue
            .iter()
            .take(self.settings.max_batch as usize)
            .cloned()
            .collect();
        self.note_load(batch.len());
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
        let Some(found) = self.requests.get_mut(request) else {
            return;
        };
        if found.prefill_left > 0 {
            found.prefill_left -= 1;
            return;
        }
        let body = &found.body;
        let index = body.generated.len() + found.events.len();
        if index < body.max_tokens as usize {
            let adapter = &body.adapter;
            let text = expected_token(&adapter.adapter, adapter.version, &body.prompt, index);
            found.push(EventBody::Token(text));
        }
        let made = found.body.generated.len() + found.events.len();
        if made >= found.body.max_tokens as usize {
            let mut ran: AdapterBody = found.body.adapter.clone();
            ran.version += u32::from(wrong_version);
            self.end(request, EventBody::Finished(ran));
        }
    }

    fn note_load(&mut self, running: usize) {
        let changed = self.load_history.last().is_none_or(|(_, n)| *n != running);
        if changed {
            self.load_history.push((Instant::now(), running));
        }
    }
}
