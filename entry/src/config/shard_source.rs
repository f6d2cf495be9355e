use {
    super::ConfigOfferError,
    async_trait::async_trait,
    chalkcart_protocol::peer::{path, ShardRequest, ShardResponse},
    chalkcart_state::{config::Shard, ids::Digest},
    chalkcart_transport::{client::PeerClient, platform::ConfigSource},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const SHARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A source of configuration shards.
#[async_trait]
pub trait ShardSource: Send + Sync {
    async fn fetch(&self, index: usize, digest: &Digest) -> Result<Shard, ConfigOfferError>;
}

/// Fetches shards from the platform.
pub struct PlatformShards(pub Arc<dyn ConfigSource>);

#[async_trait]
impl ShardSource for PlatformShards {
    async fn fetch(&self, index: usize, _: &Digest) -> Result<Shard, ConfigOfferError> {
        let shard = self.0.shard(index).await;
        shard.map_err(|source| ConfigOfferError::Platform { index, source })
    }
}

/// Fetches shards from a peer that has the configuration in force.
pub struct PeerShards {
    pub peers: PeerClient,
    pub peer: SocketAddr,
}

#[async_trait]
impl ShardSource for PeerShards {
    async fn fetch(&self, index: usize, digest: &Digest) -> Result<Shard, ConfigOfferError> {
        let request = ShardRequest {
            index,
            digest: digest.clone(),
        };
        let response: Result<ShardResponse, _> = self
            .peers
            .call(self.peer, path::SHARD, &request, SHARD_TIMEOUT)
            .await;
        let response = response.map_err(|source| ConfigOfferError::Peer { index, source })?;
        response.shard.ok_or(ConfigOfferError::ShardNotFound {
            index,
            peer: self.peer,
        })
    }
}
