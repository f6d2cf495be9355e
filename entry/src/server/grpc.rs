use {
    crate::{
        app::Shared,
        rpc::{AdminService, InferenceService},
    },
    chalkcart_protocol::v1::{admin_server::AdminServer, inference_server::InferenceServer},
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        state::{FromState, State},
    },
    http::{HeaderMap, Method, Request, Uri, Version},
    http_body_util::BodyExt,
    std::{convert::Infallible, io, sync::Arc},
    tonic::service::Routes,
    tower::Service,
};

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

    /// Forwards a request to tonic and returns its response to gotham.
    pub async fn serve(mut self, mut state: State) -> HandlerResult {
        let req = take_request(&mut state);
        let result: Result<_, Infallible> = self.routes.call(req).await;
        let reply = match result {
            Ok(response) => response.map(|body| Body::new(body.map_err(io::Error::other))),
            Err(never) => match never {},
        };
        Ok((state, reply))
    }
}

fn take_request(state: &mut State) -> Request<Body> {
    let mut req = Request::new(Body::take_from(state));
    *req.method_mut() = Method::take_from(state);
    *req.uri_mut() = Uri::take_from(state);
    *req.version_mut() = Version::HTTP_2;
    // gotham needs the headers after this handler, so they are cloned.
    *req.headers_mut() = HeaderMap::borrow_from(state).clone();
    req
}
