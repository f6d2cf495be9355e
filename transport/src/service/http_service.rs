use {
    super::{PlainService, ServiceError},
    crate::client::HttpClient,
    async_trait::async_trait,
    bytes::Bytes,
    chalkcart_state::ids::RequestId,
    http::Method,
    std::{net::SocketAddr, time::Duration},
};

/// A service that is called by `POST /service/call/REQUEST` with the unchanged body.
#[derive(Debug, Clone)]
pub struct HttpService {
    http: HttpClient,
    addr: SocketAddr,
}

impl HttpService {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
        }
    }
}

#[async_trait]
impl PlainService for HttpService {
    async fn call(
        &self,
        request: &RequestId,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ServiceError> {
        let path = format!("/service/call/{request}");
        let (status, body) = self
            .http
            .exchange(
                self.addr,
                Method::POST,
                &path,
                "application/octet-stream",
                body,
                limit,
            )
            .await?;
        match status.is_success() {
            true => Ok(body),
            false => Err(ServiceError::Status(status.as_u16())),
        }
    }
}
