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
        clients::{read_whole, BodyFault, HeldRequest},
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
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Retry-After of responses sent while the configuration is missing or too old, or while there is no
/// room for a body.
const TURNED_AWAY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time to receive a request head. Idle keep-alive connections are bound by it too, so it is
/// longer than any useful idle timeout.
const HEADER_TIMEOUT: Duration = Duration::from_secs(120);

/// Response text while the configuration may be too old to decide by.
const OUTDATED: &str = "configuration not known to be current";

/// Maximum number of removed headers named in one log line.
const MAX_NAMES_LOGGED: usize = 8;

/// Serves client requests on the configured routes.
pub struct RoutedIngress {
    shared: Arc<Shared>,
}

/// A well-formed, admitted client request with its route.
pub struct AcceptedRequest {
    pub parts: Parts,
    pub body: Bytes,
    pub head: RequestHead,
    /// Equal for all attempts of the same request.
    pub digest: RequestDigest,
    pub route: Arc<Route>,
    /// `None` on a route that needs no key.
    pub caller: Option<Caller>,
    /// `None` if the caller has no rate limit.
    pub charge: Option<Charge>,
    pub arrived: Instant,
}

impl RoutedIngress {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn process(&self, accepted: AcceptedRequest) -> ClientResponse {
        let request = accepted.head.id.clone();
        let route = accepted.route.clone();
        let arrived = accepted.arrived;
        let response = RequestExchange::new(self.shared.clone(), accepted)
            .run()
            .await;
        let status = response.status().as_u16();
        self.shared.metrics.on_response(&route.name, status);
        log::info!(
            request = request.as_str(),
            route = route.name.as_str(),
            status = status,
            total_ms = clock::elapsed(arrived).as_millis() as u64;
            "ingress: answered"
        );
        response
    }

    /// Logs and returns the response to a request that is not admitted.
    fn reject(
        &self,
        local: &LocalResponse,
        status: StatusCode,
        line: &str,
        parts: &Parts,
    ) -> ClientResponse {
        log::warn!(
            request = local.request_id.unwrap_or_default(),
            status = status.as_u16(),
            path = parts.uri.path(),
            configuration_age_ms = self.shared.admission.config_age_ms(),
            cause = line;
            "ingress: turned away"
        );
        self.shared.metrics.on_response("", status.as_u16());
        match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                local.service_unavailable(line, TURNED_AWAY_RETRY_AFTER)
            }
            _ => local.text(status, line),
        }
    }

    /// Counts a request towards the demand of its account; shortly after the start, also waits
    /// for the demand of the fleet.
    async fn record_demand(&self, caller: &Caller, head: &RequestHead) {
        let account = &caller.account;
        if let Some(limit) = &account.limit {
            let units = limit.charge(head.prompt_tokens, head.output_tokens);
            self.shared.admission.record_request(account, limit, units);
            self.shared.wait_for_fleet_demand(account.fingerprint).await;
        }
    }

    /// Charges a request to the rate limit of its caller, if there is one.
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
        let (config_age, level_age) = self.shared.admission.ages(account.fingerprint);
        self.shared
            .metrics
            .on_decision_inputs(config_age, level_age);
        let units = limit.charge(head.prompt_tokens, head.output_tokens);
        let exceeded = match self.shared.admission.charge(account, limit, units) {
            Ok(charge) => return Ok(Some(charge)),
            Err(exceeded) => exceeded,
        };
        log::warn!(
            request = head.id.as_str(),
            account = account.name.as_str(),
            units = units,
            level = exceeded.inputs.level.unwrap_or(f64::NAN),
            age_ms = exceeded.inputs.age.map_or(-1, |age| age.as_millis() as i64),
            entries = exceeded.inputs.entries,
            share = exceeded.inputs.share,
            share_age_ms = exceeded.inputs.share_age.map_or(-1, |age| age.as_millis() as i64),
            retry_after_ms = exceeded.retry_after.as_millis() as u64;
            "ingress: over limit"
        );
        let status = StatusCode::TOO_MANY_REQUESTS.as_u16();
        self.shared
            .metrics
            .on_over_limit(&account.name, exceeded.inputs.age.is_some());
        self.shared.metrics.on_response("", status);
        Err(exceeded)
    }

    /// Logs headers that clients may not set; they were removed from the request.
    fn record_removed_headers(&self, request: &str, names: &[HeaderName]) {
        self.shared.metrics.on_headers_removed(names.len());
        let names = names.iter().take(MAX_NAMES_LOGGED);
        let names: Vec<&str> = names.map(HeaderName::as_str).collect();
        log::info!(
            request = request,
            headers = names.join(",").as_str();
            "ingress: headers removed from the client's request"
        );
    }

    async fn accept(&self, req: ClientRequest) -> Result<AcceptedRequest, ClientResponse> {
        let arrived = clock::now();
        let (mut parts, body) = req.into_parts();
        let head = self.shared.dialect.read_request(&parts.headers);
        let id = head.as_ref().ok().map(|head| head.id.clone());
        let local = LocalResponse {
            dialect: self.shared.dialect.as_ref(),
            request_id: id.as_deref(),
        };
        let Some(table) = self.shared.table.load_full() else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(self.reject(&local, status, "no configuration yet", &parts));
        };
        let key = table.accounts.as_ref();
        let key = key.map(|_| self.shared.dialect.take_api_key(&mut parts.headers));
        let Some(route) = find_route(&table, &parts) else {
            // The route may be too new to be known here.
            let (status, line) = match self.shared.admission.is_config_current() {
                true => (StatusCode::NOT_FOUND, "no such route"),
                false => (StatusCode::SERVICE_UNAVAILABLE, OUTDATED),
            };
            return Err(self.reject(&local, status, line, &parts));
        };
        let key = key.unwrap_or(Err(ApiKeyError::Absent));
        let caller = self.shared.admission.admit(&table, &route, key);
        let caller = caller.map_err(|cause| {
            let status = match cause {
                AdmissionError::Outdated => StatusCode::SERVICE_UNAVAILABLE,
                AdmissionError::Key(_) | AdmissionError::UnknownKey => StatusCode::UNAUTHORIZED,
            };
            self.reject(&local, status, &cause.to_string(), &parts)
        })?;
        let timeout = head.as_ref().ok().and_then(|head| head.timeout);
        let deadline = arrived + timeout.unwrap_or(route.timeout).min(route.timeout);
        let held = parts.extensions.remove::<HeldRequest>();
        let body = match &held {
            Some(held) => read_whole(body, held, table.limits.max_body_bytes, deadline).await,
            // its connection has ended
            None => Err(BodyFault::Broken),
        };
        let body = body.map_err(|fault| {
            let (status, line) = (fault_status(fault), fault.to_string());
            let mut response = self.reject(&local, status, &line, &parts);
            // the rest of the body would be taken for the next request
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            response
        })?;
        let reject = |e: HeadError| {
            let status = StatusCode::BAD_REQUEST;
            self.reject(&local, status, &e.to_string(), &parts)
        };
        let head = head.map_err(reject)?;
        if let Some(caller) = &caller {
            self.record_demand(caller, &head).await;
        }
        let charge = self
            .charge(caller.as_ref(), &head)
            .map_err(|exceeded| local.too_many_requests("over limit", exceeded.retry_after))?;
        remove_connection_headers(&mut parts.headers, self.shared.dialect.end_to_end_headers());
        let removed = self
            .shared
            .dialect
            .remove_reserved_headers(&mut parts.headers);
        if !removed.is_empty() {
            self.record_removed_headers(&head.id, &removed);
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
            Ok(accepted) => self.process(accepted).await,
            Err(response) => response,
        };
        let is_serving = *self.shared.phase.borrow() == Phase::Serving;
        if !is_serving || self.shared.load.should_close_kept() {
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
        HEADER_TIMEOUT
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

/// Returns the status of the response to a request whose body is not there: it has not run.
fn fault_status(fault: BodyFault) -> StatusCode {
    match fault {
        BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyFault::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyFault::Late => StatusCode::REQUEST_TIMEOUT,
        BodyFault::Broken => StatusCode::BAD_REQUEST,
    }
}
