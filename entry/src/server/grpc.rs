use {
    crate::{
        app::Shared,
        rpc::{AdminService, InferenceService},
    },
    bytes::Bytes,
    chalkcart_protocol::{
        peer::{Reason, Refusal, Step},
        status::to_status,
        v1::{admin_server::AdminServer, inference_server::InferenceServer},
    },
    chalkcart_transport::{
        clients::{BodyFault, HeldRequest},
        server::{read_body, BodyError},
    },
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        state::{FromState, State},
    },
    http::{HeaderMap, Method, Request, Uri, Version},
    http_body_util::{BodyExt, Full},
    std::{convert::Infallible, io, sync::Arc, time::Duration},
    tonic::{body::Body as TonicBody, service::Routes, Status},
    tower::Service,
};

/// Ends of the paths of requests that may have a reserved id.
const WITH_RESERVED_ID: [&str; 2] = ["/Call", "/Generate"];
/// Time after which a caller may come back for whom there was no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The tonic services that gotham's routes forward to.
#[derive(Clone)]
pub struct GrpcRoutes {
    routes: Routes,
}

impl GrpcRoutes {
    pub fn new(shared: Arc<Shared>) -> Self {
        let inference = InferenceServer::new(InferenceService::new(shared.clone()));
        let admin = AdminServer::new(AdminService::new(shared));
        let routes = Routes::new(inference).add_service(admin);
        Self {
            routes: routes.prepare(),
        }
    }

    /// Forwards a request to tonic, once it has arrived whole, and returns its response to gotham.
    pub async fn serve(mut self, mut state: State) -> HandlerResult {
        let body = match read_body(&mut state).await {
            Ok(body) => body,
            Err(e) => {
                let status = refused(&e, &Uri::borrow_from(&state).to_string());
                let reply = status.into_http::<TonicBody>();
                return Ok((state, reply.map(to_gotham)));
            }
        };
        let req = take_request(&mut state, body);
        let result: Result<_, Infallible> = self.routes.call(req).await;
        let reply = match result {
            Ok(response) => response.map(to_gotham),
            Err(never) => match never {},
        };
        Ok((state, reply))
    }
}

fn to_gotham(body: TonicBody) -> Body {
    Body::new(body.map_err(io::Error::other))
}

/// Returns the status of a request that was not passed on. One with a reserved id may have run in an
/// earlier attempt, which only its target knows.
fn refused(e: &BodyError, path: &str) -> Status {
    let reason = match e {
        BodyError::Receive(BodyFault::NoRoom) => Reason::Overloaded,
        BodyError::Receive(BodyFault::Late) => Reason::DeadlinePassed,
        _ => Reason::BadRequest,
    };
    let may_have_id = WITH_RESERVED_ID.iter().any(|end| path.ends_with(end));
    let refusal = match may_have_id {
        true => Refusal::may_have_run(Step::Admission, "entry", reason),
        false => Refusal::not_run(Step::Admission, "entry", reason),
    };
    let refusal = refusal.with_detail(e.to_string());
    to_status(&match reason {
        Reason::Overloaded => refusal.with_retry_after(RETRY_AFTER),
        _ => refusal,
    })
}

fn take_request(state: &mut State, body: Bytes) -> Request<Body> {
    let never = |e: Infallible| match e {};
    let mut req = Request::new(Body::new(Full::new(body).map_err(never)));
    if let Some(held) = HeldRequest::try_borrow_from(state) {
        req.extensions_mut().insert(held.clone());
    }
    *req.method_mut() = Method::take_from(state);
    *req.uri_mut() = Uri::take_from(state);
    *req.version_mut() = Version::HTTP_2;
    // gotham needs the headers after this handler, so they are cloned.
    *req.headers_mut() = HeaderMap::borrow_from(state).clone();
    req
}
