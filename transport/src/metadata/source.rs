use {
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::watch::WatchTimes,
    chalkcart_state::published::{Snapshot, Topic},
    std::{net::SocketAddr, time::Instant},
    thiserror::Error,
};

/// what the store has said, and when that was current
#[derive(Debug)]
pub struct WatchUpdate {
    pub snapshot: Snapshot,
    /// the store knew nothing newer at this moment; it is never later than that,
    /// however long the answer took
    pub current_at: Instant,
}

/// what a watch heard
#[derive(Debug)]
pub enum WatchOutcome {
    Records(WatchUpdate),
    /// changes were dropped: a snapshot is needed
    HistoryLost,
}

/// a call to the store that gave nothing
#[derive(Debug, Error)]
pub enum SourceError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("store answered {0}")]
    Status(u16),
    #[error("store's answer: {0}")]
    Body(String),
    /// the last call failed, and a relay goes on asking
    #[error("not asked: the last call failed, a relay asks on")]
    LeftToRelay,
}

/// the platform's store, which can only be read
#[async_trait]
pub trait MetadataSource: Send + Sync {
    /// the store is to be reached at another address
    fn set_addr(&self, addr: SocketAddr);
    async fn snapshot(&self, topic: Topic) -> Result<WatchUpdate, SourceError>;
    /// wait for changes after a revision
    async fn watch(
        &self,
        topic: Topic,
        after: u64,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError>;
}
