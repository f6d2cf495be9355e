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

/// the platform's configuration service
#[async_trait]
pub trait ConfigSource: Send + Sync {
    /// wait until the root is newer than `known`, or for `wait`; none if
    /// nothing newer came
    async fn watch_root(
        &self,
        known: Generation,
        wait: Duration,
    ) -> Result<Option<Root>, PlatformError>;
    async fn shard(&self, index: usize) -> Result<Shard, PlatformError>;
}

/// the platform's list of boxes
#[async_trait]
pub trait BoxList: Send + Sync {
    async fn boxes(&self) -> Result<FleetList, PlatformError>;
}
