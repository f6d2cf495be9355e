use {
    super::{MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    crate::clock,
    chalkcart_coordination::watch::WatchPacing,
    chalkcart_state::published::Topic,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Receives the records that a store watcher reads.
pub trait RecordSink: Send + Sync {
    /// Applies all records of a topic if `is_full`, else the changed ones, if any.
    fn apply(&self, topic: Topic, update: WatchUpdate, is_full: bool);
    /// Called after each call that failed.
    fn on_read_failed(&self, _topic: Topic) {}
    /// Returns the pause between a change and the next call.
    fn pause_after_change(&self, topic: Topic) -> Duration;
}

/// Watches one topic of the platform's metadata store.
pub struct StoreWatcher {
    source: Arc<dyn MetadataSource>,
    sink: Arc<dyn RecordSink>,
    topic: Topic,
    pacing: WatchPacing,
    /// The last revision read, or `None` if a snapshot is needed.
    revision: Option<u64>,
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
            source,
            sink,
            topic,
            pacing,
            revision: None,
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
                        sleep(pause).await;
                    }
                }
                Err(e) => {
                    self.on_failure(&e, called_at);
                    self.sink.on_read_failed(self.topic);
                    let pause = self.pacing.pause(self.failures, rand::random());
                    sleep(pause).await;
                }
            }
        }
    }

    fn on_success(&mut self, called_at: Instant) {
        if self.failures > 0 {
            log::info!(
                topic = self.topic.code(),
                revision = self.revision.unwrap_or(0),
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
            revision = self.revision.unwrap_or(0),
            failures = self.failures,
            unheard_ms = elapsed_ms(self.last_success),
            took_ms = elapsed_ms(called_at),
            cause = e.to_string().as_str();
            "store: not read"
        );
    }

    /// Makes one call, and returns the pause until the next.
    async fn read_once(&mut self) -> Result<Duration, SourceError> {
        let Some(after) = self.revision else {
            let update = self.source.snapshot(self.topic).await?;
            self.revision = Some(update.snapshot.at);
            self.sink.apply(self.topic, update, true);
            return Ok(Duration::ZERO);
        };
        let times = self.pacing.next_call(self.failures);
        match self.source.watch(self.topic, after, times).await? {
            WatchOutcome::Records(update) if update.snapshot.at < after => {
                // The response is older than the known state.
                self.revision = None;
            }
            WatchOutcome::Records(update) => {
                let has_changes = !update.snapshot.records.is_empty();
                self.revision = Some(update.snapshot.at);
                self.sink.apply(self.topic, update, false);
                if has_changes {
                    return Ok(self.sink.pause_after_change(self.topic));
                }
            }
            WatchOutcome::HistoryLost => {
                log::warn!(
                    topic = self.topic.code(),
                    revision = after;
                    "store: history of {:?} lost after {after}", self.topic
                );
                self.revision = None;
            }
        }
        Ok(Duration::ZERO)
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    clock::elapsed(since).as_millis() as u64
}
