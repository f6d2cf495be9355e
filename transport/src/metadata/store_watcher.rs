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

/// takes in what a follower hears
pub trait RecordSink: Send + Sync {
    /// all records of a topic if `is_full`, else those that have changed; may
    /// be none
    fn apply(&self, topic: Topic, heard: WatchUpdate, is_full: bool);
    /// how long the follower rests after a change
    fn pause_after_change(&self, topic: Topic) -> Duration;
}

/// follows one topic of the platform's store
pub struct StoreWatcher {
    source: Arc<dyn MetadataSource>,
    sink: Arc<dyn RecordSink>,
    topic: Topic,
    pacing: WatchPacing,
    /// revision up to which changes are known, none if a snapshot is needed
    known: Option<u64>,
    /// calls that failed in a row
    failures: u32,
    /// when the last good answer came; at first, when the follower began
    heard: Instant,
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
            known: None,
            failures: 0,
            heard: clock::now(),
        }
    }

    /// follow the topic until the task is ended
    pub async fn run(mut self) {
        loop {
            let asked = clock::now();
            match self.step().await {
                Ok(pause) => {
                    self.on_heard(asked);
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
                Err(e) => {
                    self.on_failed(&e, asked);
                    let pause = self.pacing.pause(self.failures, rand::random());
                    sleep(pause).await;
                }
            }
        }
    }

    fn on_heard(&mut self, asked: Instant) {
        if self.failures > 0 {
            log::info!(
                topic = self.topic.code(),
                revision = self.known.unwrap_or(0),
                failures = self.failures,
                unheard_ms = elapsed_ms(self.heard),
                took_ms = elapsed_ms(asked);
                "store: read again"
            );
        }
        self.failures = 0;
        self.heard = clock::now();
    }

    /// A line for each call: they say when the calls of an outage began and how long
    /// each lasted. The pauses bound them to a few a second.
    fn on_failed(&mut self, e: &SourceError, asked: Instant) {
        self.failures += 1;
        log::warn!(
            topic = self.topic.code(),
            revision = self.known.unwrap_or(0),
            failures = self.failures,
            unheard_ms = elapsed_ms(self.heard),
            took_ms = elapsed_ms(asked),
            cause = e.to_string().as_str();
            "store: not read"
        );
    }

    /// one call; gives the pause until the next
    async fn step(&mut self) -> Result<Duration, SourceError> {
        let Some(after) = self.known else {
            let heard = self.source.snapshot(self.topic).await?;
            self.known = Some(heard.snapshot.at);
            self.sink.apply(self.topic, heard, true);
            return Ok(Duration::ZERO);
        };
        let times = self.pacing.next_call(self.failures);
        match self.source.watch(self.topic, after, times).await? {
            WatchOutcome::Records(heard) if heard.snapshot.at < after => {
                // an answer of an earlier state says nothing new
                self.known = None;
            }
            WatchOutcome::Records(heard) => {
                let has_news = !heard.snapshot.records.is_empty();
                self.known = Some(heard.snapshot.at);
                self.sink.apply(self.topic, heard, false);
                if has_news {
                    return Ok(self.sink.pause_after_change(self.topic));
                }
            }
            WatchOutcome::HistoryLost => {
                log::warn!(
                    topic = self.topic.code(),
                    revision = after;
                    "store: history of {:?} lost after {after}", self.topic
                );
                self.known = None;
            }
        }
        Ok(Duration::ZERO)
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    clock::elapsed(since).as_millis() as u64
}
