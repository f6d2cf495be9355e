use {
    super::{answers::OwnAnswer, exchange::Exchange, shared::Shared},
    async_trait::async_trait,
    bytes::Bytes,
    chalkcart_state::ingress::{IngressLimits, Route, RouteTable},
    chalkcart_transport::ingress::{
        remove_connection_headers, ClientRequest, ClientResponse, IngressService, Phase,
        RequestHead,
    },
    http::{
        header::{CONNECTION, HOST},
        request::Parts,
        HeaderValue, StatusCode,
    },
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// when a client comes back to a process that knows no configuration
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// a kept connection may rest for longer than any configuration asks, since
/// the limit changes while it rests
const HEAD_LIMIT: Duration = Duration::from_secs(120);

/// answers requests on the routes of the configuration
pub struct RoutedIngress {
    shared: Arc<Shared>,
}

/// a request that is well formed and has a route
pub struct Accepted {
    pub parts: Parts,
    pub body: Bytes,
    pub head: RequestHead,
    pub route: Arc<Route>,
    pub arrived: Instant,
}

impl RoutedIngress {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn accept(&self, req: ClientRequest) -> Result<Accepted, ClientResponse> {
        let arrived = Instant::now();
        let (mut parts, body) = req.into_parts();
        let head = self.shared.dialect.read_request(&parts.headers);
        let id = head.as_ref().ok().map(|head| head.id.clone());
        let own = OwnAnswer {
            dialect: self.shared.dialect.as_ref(),
            request_id: id.as_deref(),
        };
        let Some(table) = self.shared.table.load_full() else {
            return Err(own.not_run("no configuration yet", NOT_CONFIGURED_RETRY));
        };
        let Some(route) = find_route(&table, &parts) else {
            return Err(own.plain(StatusCode::NOT_FOUND, "no such route"));
        };
        let body = read_body(body, &table.limits).await;
        let body = body.map_err(|(status, line)| own.plain(status, line))?;
        let head = head.map_err(|e| own.plain(StatusCode::BAD_REQUEST, &e.to_string()))?;
        remove_connection_headers(&mut parts.headers);
        Ok(Accepted {
            parts,
            body,
            head,
            route,
            arrived,
        })
    }
}

#[async_trait]
impl IngressService for RoutedIngress {
    async fn answer(&self, req: ClientRequest) -> ClientResponse {
        let mut response = match self.accept(req).await {
            Ok(accepted) => Exchange::new(self.shared.clone(), accepted).run().await,
            Err(response) => response,
        };
        if *self.shared.phase.borrow() != Phase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
    fn max_header_bytes(&self) -> usize {
        let table = self.shared.table.load();
        let limits = table.as_ref().map(|t| t.limits.max_header_bytes);
        limits.unwrap_or_else(|| IngressLimits::default().max_header_bytes)
    }
    fn header_timeout(&self) -> Duration {
        HEAD_LIMIT
    }
}

fn find_route(table: &RouteTable, parts: &Parts) -> Option<Arc<Route>> {
    let in_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(in_header)?;
    table.find(host, parts.uri.path())
}

async fn read_body(
    body: Incoming,
    limits: &IngressLimits,
) -> Result<Bytes, (StatusCode, &'static str)> {
    const TOO_LARGE: (StatusCode, &str) = (StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(TOO_LARGE);
    }
    match Limited::new(body, limits.max_body_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(TOO_LARGE),
        Err(_) => Err((StatusCode::BAD_REQUEST, "body not received")),
    }
}
