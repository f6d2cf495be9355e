use {
    super::KnownEra,
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::watch::WatchTimes,
    chalkcart_state::published::{Record, Snapshot, StoreEra, StorePosition, Topic},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Time limit of a read of past changes.
pub const HISTORY_TIMEOUT: Duration = Duration::from_millis(700);

/// Records of the store, with the time at which they were current.
#[derive(Debug)]
pub struct WatchUpdate {
    pub snapshot: Snapshot,
    /// A moment at which the store had nothing newer: not later than the start of the call,
    /// as the response may have been delayed.
    pub current_at: Instant,
}

/// The first page of a topic.
#[derive(Debug)]
pub struct FirstPage {
    pub update: WatchUpdate,
    /// Whether the topic has no further pages.
    pub is_complete: bool,
}

/// A change that the store still has.
#[derive(Debug, Clone)]
pub struct PastChange {
    pub record: Record,
    /// How often its back end had written its record by then; `None` if it doesn't say.
    pub writes: Option<u64>,
}

/// The result of a watch call.
#[derive(Debug)]
pub enum WatchOutcome {
    Records(WatchUpdate),
    /// The store has dropped some of the changes, or has begun another era, so a snapshot is
    /// needed.
    HistoryLost,
}

/// A failed read of the store.
#[derive(Debug, Error)]
pub enum SourceError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("store returned status {0}")]
    Status(u16),
    #[error("store response: {0}")]
    Body(String),
    /// The records are of an era that is over.
    #[error("store response is of era {found}, era {known} is known")]
    EarlierEra { found: StoreEra, known: StoreEra },
    /// Not called, as the last call failed and a relay polls the store.
    #[error("not called: the last call failed, and a relay polls the store")]
    LeftToRelay,
}

/// A read-only client of the platform's metadata store.
#[async_trait]
pub trait MetadataSource: Send + Sync {
    /// Sets the store's address for all further calls.
    fn set_addr(&self, addr: SocketAddr);
    /// Returns the era of the store, which each response of the store may raise.
    fn known_era(&self) -> Arc<KnownEra>;
    async fn snapshot(&self, topic: Topic) -> Result<WatchUpdate, SourceError>;
    /// Reads the first page of a topic, which costs one call however large the topic is.
    async fn first_page(&self, topic: Topic) -> Result<FirstPage, SourceError> {
        let update = self.snapshot(topic).await?;
        Ok(FirstPage {
            update,
            is_complete: true,
        })
    }
    /// Reads the changes from `after` up to now, at least up to `until`; `None` if the store has
    /// dropped some of them or is behind.
    async fn history(
        &self,
        topic: Topic,
        after: StorePosition,
        until: StorePosition,
    ) -> Result<Option<Vec<PastChange>>, SourceError> {
        let times = WatchTimes {
            hold: Duration::ZERO,
            response: HISTORY_TIMEOUT,
        };
        let WatchOutcome::Records(update) = self.watch(topic, after, times).await? else {
            return Ok(None);
        };
        let records = update.snapshot.records.into_iter();
        let changes = records.map(|record| PastChange {
            record,
            writes: None,
        });
        Ok((update.snapshot.at >= until).then(|| changes.collect()))
    }
    /// Waits for changes after a position.
    async fn watch(
        &self,
        topic: Topic,
        after: StorePosition,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError>;
}
