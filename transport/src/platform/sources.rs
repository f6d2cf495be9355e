use {
    super::PlatformError,
    async_trait::async_trait,
    chalkcart_state::{
        config::{Root, Shard},
        fleet::FleetList,
        ids::Generation,
    },
    std::time::Duration,
};

/// The platform's configuration service.
#[async_trait]
pub trait ConfigSource: Send + Sync {
    /// Waits up to `wait` for a root that is newer than `known`, and returns `None` if there
    /// is none.
    async fn watch_root(
        &self,
        known: Generation,
        wait: Duration,
    ) -> Result<Option<Root>, PlatformError>;
    async fn shard(&self, index: usize) -> Result<Shard, PlatformError>;
}

/// The platform's list of boxes.
#[async_trait]
pub trait BoxList: Send + Sync {
    async fn boxes(&self) -> Result<FleetList, PlatformError>;
}
