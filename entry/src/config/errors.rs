use {
    chalkcart_state::{config::ConfigError, ids::Generation},
    chalkcart_transport::{client::ClientError, platform::PlatformError},
    std::net::SocketAddr,
    thiserror::Error,
};

/// Why an offered configuration was not put in force.
#[derive(Debug, Error)]
pub enum ConfigOfferError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("shard {index} from the platform: {source}")]
    Platform { index: usize, source: PlatformError },
    #[error("shard {index} from a peer: {source}")]
    Peer { index: usize, source: ClientError },
    #[error("peer {peer} no longer has shard {index}")]
    ShardNotFound { index: usize, peer: SocketAddr },
    #[error("the offered content of generation {0} differs from the one in force")]
    Conflict(Generation),
}
