use {
    super::{BoxList, ConfigSource, PlatformError},
    crate::client::HttpClient,
    async_trait::async_trait,
    bytes::Bytes,
    chalkcart_state::{
        config::{shard_key, Root, Shard, ROOT_KEY},
        fleet::FleetList,
        ids::Generation,
    },
    http::{Method, StatusCode},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform over HTTP with JSON: `GET /config/KEY` and `GET /boxes`.
///
/// `GET /config/root?after=GENERATION&wait_ms=MS` waits for a newer root, and returns 304 if
/// there is none.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    http: HttpClient,
    addr: SocketAddr,
}

impl HttpPlatform {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let (status, body) = self
            .http
            .exchange(
                self.addr,
                Method::GET,
                path,
                "application/json",
                Bytes::new(),
                limit,
            )
            .await?;
        match status {
            StatusCode::OK => decode(path, &body).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::NOT_FOUND => Err(PlatformError::Missing(path.to_string())),
            status => Err(PlatformError::Status {
                key: path.to_string(),
                status: status.as_u16(),
            }),
        }
    }
}

fn decode<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Missing(format!("{path}: {e}")))
}

#[async_trait]
impl ConfigSource for HttpPlatform {
    async fn watch_root(
        &self,
        known: Generation,
        wait: Duration,
    ) -> Result<Option<Root>, PlatformError> {
        let path = format!(
            "/config/{ROOT_KEY}?after={known}&wait_ms={}",
            wait.as_millis()
        );
        self.get(&path, wait + READ_TIMEOUT).await
    }

    async fn shard(&self, index: usize) -> Result<Shard, PlatformError> {
        let path = format!("/config/{}", shard_key(index));
        let shard = self.get(&path, READ_TIMEOUT).await?;
        shard.ok_or(PlatformError::Missing(path))
    }
}

#[async_trait]
impl BoxList for HttpPlatform {
    async fn boxes(&self) -> Result<FleetList, PlatformError> {
        let list = self.get("/boxes", READ_TIMEOUT).await?;
        list.ok_or_else(|| PlatformError::Missing("/boxes".to_string()))
    }
}
