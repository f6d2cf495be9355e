use {
    super::{
        admission::{AdmissionError, Caller, Charge},
        local_response::LocalResponse,
        request_exchange::RequestExchange,
        shared::Shared,
    },
    async_trait::async_trait,
    bytes::Bytes,
    chalkcart_coordination::limits::LimitExceeded,
    chalkcart_state::{
        accounts::ApiKeyError,
        ingress::{IngressLimits, RequestDigest, Route, RouteTable},
    },
    chalkcart_transport::{
        clock,
        ingress::{
            remove_connection_headers, ClientRequest, ClientResponse, HeadError, IngressService,
            Phase, RequestHead,
        },
    },
    http::{
        header::{CONNECTION, HOST},
        request::Parts,
        HeaderName, HeaderValue, StatusCode,
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

/// the word for a process whose configuration may be too old to judge by
const OUTDATED: &str = "configuration not known to be current";

/// names of withheld headers that a line of the log holds at most
const MAX_NAMES_LOGGED: usize = 8;

/// answers requests on the routes of the configuration
pub struct RoutedIngress {
    shared: Arc<Shared>,
}

/// a request that is well formed and has a route
pub struct AcceptedRequest {
    pub parts: Parts,
    pub body: Bytes,
    pub head: RequestHead,
    /// the same for each try of this request
    pub digest: RequestDigest,
    pub route: Arc<Route>,
    /// none on a route that needs no key
    pub caller: Option<Caller>,
    /// none if the caller is not limited
    pub charge: Option<Charge>,
    pub arrived: Instant,
}

impl RoutedIngress {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn exchange(&self, accepted: AcceptedRequest) -> ClientResponse {
        let request = accepted.head.id.clone();
        let route = accepted.route.clone();
        let arrived = accepted.arrived;
        let response = RequestExchange::new(self.shared.clone(), accepted)
            .run()
            .await;
        let status = response.status().as_u16();
        self.shared.metrics.on_answer(&route.name, status);
        log::info!(
            request = request.as_str(),
            route = route.name.as_str(),
            status = status,
            total_ms = clock::elapsed(arrived).as_millis() as u64;
            "ingress: answered"
        );
        response
    }

    /// say why a request goes no further
    fn reject(
        &self,
        own: &LocalResponse,
        status: StatusCode,
        line: &str,
        parts: &Parts,
    ) -> ClientResponse {
        log::warn!(
            request = own.request_id.unwrap_or_default(),
            status = status.as_u16(),
            path = parts.uri.path(),
            configuration_age_ms = self.shared.admission.config_age_ms(),
            cause = line;
            "ingress: turned away"
        );
        self.shared.metrics.on_answer("", status.as_u16());
        match status {
            StatusCode::SERVICE_UNAVAILABLE => own.service_unavailable(line, NOT_CONFIGURED_RETRY),
            _ => own.text(status, line),
        }
    }

    /// count a request as asked for, and let an entry that has just started hear what
    /// others are asked for
    async fn ask(&self, caller: &Caller, head: &RequestHead) {
        let account = &caller.account;
        if let Some(limit) = &account.limit {
            let units = limit.charge(head.prompt_tokens, head.output_tokens);
            self.shared.admission.record_request(account, limit, units);
            self.shared.wait_for_fleet_demand(account.fingerprint).await;
        }
    }

    /// charge a request to the limit of its caller, if that has one
    fn charge(
        &self,
        caller: Option<&Caller>,
        head: &RequestHead,
    ) -> Result<Option<Charge>, LimitExceeded> {
        let Some(account) = caller.map(|caller| &caller.account) else {
            return Ok(None);
        };
        let Some(limit) = &account.limit else {
            return Ok(None);
        };
        let judged = self.shared.admission.ages(account.fingerprint);
        self.shared.metrics.on_decision_inputs(judged.0, judged.1);
        let units = limit.charge(head.prompt_tokens, head.output_tokens);
        let over = match self.shared.admission.charge(account, limit, units) {
            Ok(charge) => return Ok(Some(charge)),
            Err(over) => over,
        };
        log::warn!(
            request = head.id.as_str(),
            account = account.name.as_str(),
            units = units,
            level = over.inputs.level.unwrap_or(f64::NAN),
            age_ms = over.inputs.age.map_or(-1, |age| age.as_millis() as i64),
            entries = over.inputs.entries,
            retry_after_ms = over.retry_after.as_millis() as u64;
            "ingress: over limit"
        );
        let status = StatusCode::TOO_MANY_REQUESTS.as_u16();
        self.shared
            .metrics
            .on_over_limit(&account.name, over.inputs.age.is_some());
        self.shared.metrics.on_answer("", status);
        Err(over)
    }

    /// a client has set what is not its own to set; its request goes on without
    fn note_withheld(&self, request: &str, names: &[HeaderName]) {
        self.shared.metrics.on_headers_removed(names.len());
        let names = names.iter().take(MAX_NAMES_LOGGED);
        let names: Vec<&str> = names.map(HeaderName::as_str).collect();
        log::info!(
            request = request,
            headers = names.join(",").as_str();
            "ingress: headers withheld"
        );
    }

    async fn accept(&self, req: ClientRequest) -> Result<AcceptedRequest, ClientResponse> {
        let arrived = clock::now();
        let (mut parts, body) = req.into_parts();
        let head = self.shared.dialect.read_request(&parts.headers);
        let id = head.as_ref().ok().map(|head| head.id.clone());
        let own = LocalResponse {
            dialect: self.shared.dialect.as_ref(),
            request_id: id.as_deref(),
        };
        let Some(table) = self.shared.table.load_full() else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(self.reject(&own, status, "no configuration yet", &parts));
        };
        let key = table.accounts.as_ref();
        let key = key.map(|_| self.shared.dialect.take_api_key(&mut parts.headers));
        let Some(route) = find_route(&table, &parts) else {
            // a route that is new may not be known here yet
            let (status, line) = match self.shared.admission.is_config_current() {
                true => (StatusCode::NOT_FOUND, "no such route"),
                false => (StatusCode::SERVICE_UNAVAILABLE, OUTDATED),
            };
            return Err(self.reject(&own, status, line, &parts));
        };
        let key = key.unwrap_or(Err(ApiKeyError::Absent));
        let caller = self.shared.admission.admit(&table, &route, key);
        let caller = caller.map_err(|cause| {
            let status = match cause {
                AdmissionError::Outdated => StatusCode::SERVICE_UNAVAILABLE,
                AdmissionError::Key(_) | AdmissionError::UnknownKey => StatusCode::UNAUTHORIZED,
            };
            self.reject(&own, status, &cause.to_string(), &parts)
        })?;
        let body = read_body(body, &table.limits).await;
        let turned = |(status, line): (_, &str)| self.reject(&own, status, line, &parts);
        let body = body.map_err(turned)?;
        let turned = |e: HeadError| {
            let status = StatusCode::BAD_REQUEST;
            self.reject(&own, status, &e.to_string(), &parts)
        };
        let head = head.map_err(turned)?;
        if let Some(caller) = &caller {
            self.ask(caller, &head).await;
        }
        let charge = self
            .charge(caller.as_ref(), &head)
            .map_err(|over| own.too_many_requests("over limit", over.retry_after))?;
        remove_connection_headers(&mut parts.headers, self.shared.dialect.end_to_end_headers());
        let withheld = self
            .shared
            .dialect
            .remove_reserved_headers(&mut parts.headers);
        if !withheld.is_empty() {
            self.note_withheld(&head.id, &withheld);
        }
        let account = caller.as_ref().map_or("", |caller| &caller.account.name);
        let digest = request_digest(&parts, account, &body);
        Ok(AcceptedRequest {
            parts,
            body,
            head,
            digest,
            route,
            caller,
            charge,
            arrived,
        })
    }
}

#[async_trait]
impl IngressService for RoutedIngress {
    async fn respond(&self, req: ClientRequest) -> ClientResponse {
        let mut response = match self.accept(req).await {
            Ok(accepted) => self.exchange(accepted).await,
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

pub(super) fn find_route(table: &RouteTable, parts: &Parts) -> Option<Arc<Route>> {
    let in_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(in_header)?;
    table.find(host, parts.uri.path())
}

fn request_digest(parts: &Parts, account: &str, body: &[u8]) -> RequestDigest {
    let target = parts.uri.path_and_query().map_or("", |t| t.as_str());
    RequestDigest::of(parts.method.as_str(), target, account, body)
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
