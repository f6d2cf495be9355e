use {
    super::{order_error::OrderError, prefix_cache::PrefixCache, EngineFaults, EngineSettings},
    chalkcart_state::ids::{Fence, Incarnation, RequestId},
    chalkcart_transport::engine::{
        AdapterBody, CancelState, EngineEvent, EventBody, FenceBody, GenerateBody, RunningBody,
        StatusReply,
    },
    std::{collections::HashMap, sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Request held by the engine.
#[derive(Debug)]
pub struct EngineRequest {
    pub body: GenerateBody,
    /// Remaining prefill steps.
    pub prefill_left: usize,
    pub events: Vec<EngineEvent>,
    pub is_ended: bool,
    /// Number of events so far, watched by event streams.
    pub count: watch::Sender<usize>,
}

impl EngineRequest {
    pub fn push(&mut self, body: EventBody) {
        let sequence = self.events.len() as u64;
        self.is_ended = !matches!(body, EventBody::Token(_));
        self.events.push(EngineEvent { sequence, body });
        self.count.send_replace(self.events.len());
    }
}

/// State of one incarnation and counters over all incarnations.
#[derive(Debug)]
pub struct EngineState {
    pub settings: EngineSettings,
    pub incarnation: Incarnation,
    pub fence: Fence,
    pub loaded: Vec<AdapterBody>,
    pub loading: usize,
    pub requests: HashMap<RequestId, EngineRequest>,
    /// Running requests, followed by waiting ones in order of priority.
    pub queue: Vec<RequestId>,
    pub cache: PrefixCache,
    pub faults: EngineFaults,
    /// Changes of the batch size with their times.
    pub batch_size_history: Vec<(Instant, usize)>,
    /// Number of started runs by prompt; tests use unique prompts.
    pub runs: HashMap<String, u32>,
    /// Number of requests whose adapter was unloaded while they were queued or running.
    pub unloaded_in_use: u32,
    /// Number of orders rejected because of their incarnation or fence.
    pub rejected_orders: u32,
    /// Number of steps, and the sum of their batch sizes.
    pub steps: u64,
    pub step_requests: u64,
}

impl EngineState {
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cached_prefixes, settings.lag),
            settings,
            incarnation: rand::random::<u32>().into(),
            fence: 0,
            loaded: Vec::new(),
            loading: 0,
            requests: HashMap::new(),
            queue: Vec::new(),
            faults: EngineFaults::default(),
            batch_size_history: Vec::new(),
            runs: HashMap::new(),
            unloaded_in_use: 0,
            rejected_orders: 0,
            steps: 0,
            step_requests: 0,
        }
    }

    /// Restarts the engine as another incarnation without any state.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = 0;
        self.loaded.clear();
        self.loading = 0;
        self.queue.clear();
        // dropping the senders ends the event streams
        self.requests.clear();
        self.cache = PrefixCache::new(self.settings.cached_prefixes, self.settings.lag);
    }

    pub fn status(&self) -> StatusReply {
        StatusReply {
            incarnation: self.incarnation,
            fence: self.fence,
            base_model: self.settings.base_model.clone(),
            slots: self.settings.slots,
            max_batch: self.settings.max_batch,
            loaded: self.loaded.clone(),
            running: self.queue.iter().map(|r| self.running_body(r)).collect(),
        }
    }

    fn running_body(&self, request: &RequestId) -> RunningBody {
        RunningBody {
            request: request.clone(),
            adapter: self.requests[request].body.adapter.clone(),
        }
    }

    pub fn check(&mut self, order: FenceBody) -> Result<(), OrderError> {
        let result = if order.incarnation != self.incarnation {
            Err(OrderError::OtherIncarnation)
        } else if order.fence != self.fence {
            Err(OrderError::OtherFence)
        } else {
            Ok(())
        };
        self.rejected_orders += u32::from(result.is_err());
        result
    }

    pub fn accept_fence(&mut self, order: FenceBody) -> Result<(), OrderError> {
        if order.incarnation != self.incarnation {
            return Err(OrderError::OtherIncarnation);
        }
        if order.fence < self.fence {
            return Err(OrderError::OtherFence);
        }
        self.fence = order.fence;
        Ok(())
    }

    pub fn begin_load(&mut self, order: FenceBody) -> Result<(), OrderError> {
        self.check(order)?;
        if self.loaded.len() + self.loading >= self.settings.slots {
            return Err(OrderError::NoFreeSlot);
        }
        self.loading += 1;
        Ok(())
    }

    /// Completes a load, unless the fence has changed since it was ordered.
    pub fn end_load(
        &mut self,
        order: FenceBody,
        adapter: AdapterBody,
        fetched: bool,
    ) -> Result<(), OrderError> {
        if order.incarnation != self.incarnation {
            return Err(OrderError::OtherIncarnation);
        }
        self.loading = self.loading.saturating_sub(1);
        self.check(order)?;
        if !fetched {
            return Err(OrderError::LoadFailed);
        }
        self.loaded.push(adapter);
        Ok(())
    }

    pub fn unload(&mut self, order: FenceBody, adapter: &AdapterBody) -> Result<(), OrderError> {
        self.check(order)?;
        let Some(index) = self.loaded.iter().position(|a| a == adapter) else {
            return Err(OrderError::NotLoaded);
        };
        self.loaded.remove(index);
        let users: Vec<RequestId> = self
            .queue
            .iter()
            .filter(|r| self.requests[*r].body.adapter == *adapter)
            .cloned()
            .collect();
        self.unloaded_in_use += users.len() as u32;
        for request in users {
            self.end(&request, EventBody::Failed("adapter unloaded".to_string()));
        }
        Ok(())
    }

    pub fn generate(&mut self, body: GenerateBody) -> Result<(), OrderError> {
        self.check(body.order)?;
        if !self.loaded.contains(&body.adapter) {
            return Err(OrderError::NotLoaded);
        }
        if self.requests.contains_key(&body.request) {
            return Ok(());
        }
        *self.runs.entry(body.prompt.clone()).or_insert(0) += 1;
        let words = body.prompt.split_whitespace().count() + body.generated.len();
        let prefill_left = match self.cache.lookup_or_insert(&body.prompt) {
            true => 0,
            false => words / self.settings.prefill_words.max(1),
        };
        let position = self.queue_position(body.priority);
        self.queue.insert(position, body.request.clone());
        let request = EngineRequest {
            prefill_left,
            events: Vec::new(),
            is_ended: false,
            count: watch::Sender::new(0),
            body,
        };
        self.requests.insert(request.body.request.clone(), request);
        Ok(())
    }

    pub fn cancel(&mut self, request: &str) -> CancelState {
        match self.requests.get(request) {
            None => CancelState::Unknown,
            Some(entry) if entry.is_ended => CancelState::Ended,
            Some(_) => {
                self.end(request, EventBody::Failed("cancelled".to_string()));
                CancelState::Cancelled
            }
        }
    }

    /// Ends a request; its events are kept for streams that resume.
    pub fn end(&mut self, request: &str, body: EventBody) {
        self.queue.retain(|r| r != request);
        if let Some(entry) = self.requests.get_mut(request) {
            entry.push(body);
        }
    }

    /// Returns the batch size as of `lag` ago.
    pub fn reported_batch_size(&mut self, now: Instant) -> usize {
        let lag = self.settings.lag;
        let is_visible = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        let last = self
            .batch_size_history
            .iter()
            .rposition(|(at, _)| is_visible(at));
        match last {
            Some(index) => {
                self.batch_size_history.drain(..index);
                self.batch_size_history[0].1
            }
            None => 0,
        }
    }

    /// Returns the queue position after the running requests and those of the same or a higher
    /// priority.
    fn queue_position(&self, priority: u8) -> usize {
        let running = self.queue.len().min(self.settings.max_batch as usize);
        let waiting = &self.queue[running..];
        let before = waiting
            .iter()
            .filter(|r| self.requests[*r].body.priority <= priority);
        running + before.count()
    }
}

/// Engine state shared by the routes and the batch loop.
pub type SharedEngine = Arc<std::sync::Mutex<EngineState>>;
