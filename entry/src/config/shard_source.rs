use {
    super::ConfigOfferError,
    async_trait::async_trait,
    chalkcart_protocol::peer::{path, ShardRequest, ShardResponse},
    chalkcart_state::{config::Shard, ids::Digest},
    chalkcart_transport::{client::PeerClient, platform::ConfigSource},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const SHARD_TIMEOUT: Duration = Duration::from_secs(2);

/// where missing shards come from
#[async_trait]
pub trait ShardSource: Send + Sync {
    async fn shard(&self, index: usize, digest: &Digest) -> Result<Shard, ConfigOfferError>;
}

/// the platform
pub struct PlatformShards(pub Arc<dyn ConfigSource>);

#[async_trait]
impl ShardSource for PlatformShards {
    async fn shard(&self, index: usize, _: &Digest) -> Result<Shard, ConfigOfferError> {
        let shard = self.0.shard(index).await;
        shard.map_err(|source| ConfigOfferError::Platform { index, source })
    }
}

/// a peer that has the configuration in force
pub struct PeerShards {
    pub peers: PeerClient,
    pub peer: SocketAddr,
}

#[async_trait]
impl ShardSource for PeerShards {
    async fn shard(&self, index: usize, digest: &Digest) -> Result<Shard, ConfigOfferError> {
        let ask = ShardRequest {
            index,
            digest: digest.clone(),
        };
        let answer: Result<ShardResponse, _> = self
            .peers
            .call(self.peer, path::SHARD, &ask, SHARD_TIMEOUT)
            .await;
        let answer = answer.map_err(|source| ConfigOfferError::Peer { index, source })?;
        answer.shard.ok_or(ConfigOfferError::Gone {
            index,
            peer: self.peer,
        })
    }
}
