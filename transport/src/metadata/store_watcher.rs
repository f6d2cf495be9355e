use {
    super::{KnownEra, MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    crate::clock,
    chalkcart_coordination::watch::WatchPacing,
    chalkcart_state::published::{StorePosition, Topic},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Receives the records that a store watcher reads.
pub trait RecordSink: Send + Sync {
    /// Applies all records of a topic if `is_full`, else the changed ones, if any.
    fn apply(&self, topic: Topic, update: WatchUpdate, is_full: bool);
    /// Called after each call that failed.
    fn on_read_failed(&self, _topic: Topic) {}
    /// Called when the store has begun another era, so that the topic must be read in full. Returns
    /// the pause before that; `jitter` is between 0 and 1 and differs between processes.
    fn on_new_era(&self, _topic: Topic, _jitter: f64) -> Duration {
        Duration::ZERO
    }
    /// Returns the pause between a change and the next call.
    fn pause_after_change(&self, topic: Topic) -> Duration;
}

/// Watches one topic of the platform's metadata store.
pub struct StoreWatcher {
    source: Arc<dyn MetadataSource>,
    sink: Arc<dyn RecordSink>,
    topic: Topic,
    pacing: WatchPacing,
    era: Arc<KnownEra>,
    /// The last position read, or `None` if a snapshot is needed.
    position: Option<StorePosition>,
    /// Consecutive failed calls.
    failures: u32,
    /// The time of the last successful response, or of the start before the first.
    last_success: Instant,
}

impl StoreWatcher {
    pub fn new(
        source: Arc<dyn MetadataSource>,
        sink: Arc<dyn RecordSink>,
        topic: Topic,
        pacing: WatchPacing,
    ) -> Self {
        Self {
            era: source.known_era(),
            source,
            sink,
            topic,
            pacing,
            position: None,
            failures: 0,
            last_success: clock::now(),
        }
    }

    /// Watches the topic until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let called_at = clock::now();
            match self.read_once().await {
                Ok(pause) => {
                    self.on_success(called_at);
                    if !pause.is_zero() {
                        self.pause(pause).await;
                    }
                }
                Err(e) => {
                    self.on_failure(&e, called_at);
                    self.sink.on_read_failed(self.topic);
                    let pause = self.pacing.pause(self.failures, rand::random());
                    self.pause(pause).await;
                }
            }
        }
    }

    /// Waits before the next call; a new era, of which the other topic may learn first, ends the
    /// wait.
    async fn pause(&self, pause: Duration) {
        match self.position {
            Some(at) => {
                // Either way the next call follows.
                let _ = timeout(pause, self.era.passes(at.era)).await;
            }
            None => sleep(pause).await,
        }
    }

    fn on_success(&mut self, called_at: Instant) {
        if self.failures > 0 {
            log::info!(
                topic = self.topic.code(),
                revision = self.position().revision,
                era = self.position().era,
                failures = self.failures,
                unheard_ms = elapsed_ms(self.last_success),
                took_ms = elapsed_ms(called_at);
                "store: read again"
            );
        }
        self.failures = 0;
        self.last_success = clock::now();
    }

    /// Logs each failed call, which shows the start and duration of the calls during an
    /// outage. The pauses between calls limit the rate of lines.
    fn on_failure(&mut self, e: &SourceError, called_at: Instant) {
        self.failures += 1;
        log::warn!(
            topic = self.topic.code(),
            revision = self.position().revision,
            era = self.position().era,
            failures = self.failures,
            unheard_ms = elapsed_ms(self.last_success),
            took_ms = elapsed_ms(called_at),
            cause = e.to_string().as_str();
            "store: not read"
        );
    }

    /// Makes one call, and returns the pause until the next.
    async fn read_once(&mut self) -> Result<Duration, SourceError> {
        match self.position {
            Some(after) => self.read_changes(after).await,
            None => self.read_all().await,
        }
    }

    async fn read_all(&mut self) -> Result<Duration, SourceError> {
        let update = self.source.snapshot(self.topic).await?;
        let at = update.snapshot.at;
        let known = self.era.get();
        if at.era < known {
            let found = at.era;
            return Err(SourceError::EarlierEra { found, known });
        }
        // A relay may have told a later era than the store itself so far.
        self.era.raise(at.era);
        self.position = Some(at);
        self.sink.apply(self.topic, update, true);
        Ok(Duration::ZERO)
    }

    async fn read_changes(&mut self, after: StorePosition) -> Result<Duration, SourceError> {
        let times = self.pacing.next_call(self.failures);
        let outcome = tokio::select! {
            // The other topic may learn of a new era first.
            () = self.era.passes(after.era) => WatchOutcome::HistoryLost,
            outcome = self.source.watch(self.topic, after, times) => outcome?,
        };
        match outcome {
            WatchOutcome::Records(update) if update.snapshot.at < after => {
                // The response is older than the known state.
                self.position = None;
            }
            WatchOutcome::Records(update) => {
                let has_changes = !update.snapshot.records.is_empty();
                self.position = Some(update.snapshot.at);
                self.sink.apply(self.topic, update, false);
                if has_changes {
                    return Ok(self.sink.pause_after_change(self.topic));
                }
            }
            WatchOutcome::HistoryLost => {
                log::warn!(
                    topic = self.topic.code(),
                    revision = after.revision,
                    era = after.era;
                    "store: history of {:?} lost after {after}", self.topic
                );
                self.position = None;
                if self.era.get() > after.era {
                    return Ok(self.sink.on_new_era(self.topic, rand::random()));
                }
            }
        }
        Ok(Duration::ZERO)
    }

    fn position(&self) -> StorePosition {
        self.position.unwrap_or_default()
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    clock::elapsed(since).as_millis() as u64
}
