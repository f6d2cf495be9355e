use {
    chalkcart_state::{config::ConfigError, ids::Generation},
    chalkcart_transport::{client::ClientError, platform::PlatformError},
    std::net::SocketAddr,
    thiserror::Error,
};

/// why an offered configuration was not taken
#[derive(Debug, Error)]
pub enum ConfigOfferError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("shard {index} from the platform: {source}")]
    Platform { index: usize, source: PlatformError },
    #[error("shard {index} from a peer: {source}")]
    Peer { index: usize, source: ClientError },
    #[error("peer {peer} no longer has shard {index}")]
    Gone { index: usize, peer: SocketAddr },
    #[error("another content under generation {0}")]
    Conflict(Generation),
}
