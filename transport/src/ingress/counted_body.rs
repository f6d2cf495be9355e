use {
    super::{
        accept::{ConnectionControl, RequestPlace},
        server::ClientBody,
    },
    crate::clients::HoldingBody,
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Reports the end of a request when it is dropped.
pub struct RequestGuard(Arc<dyn ConnectionControl>);

impl RequestGuard {
    pub fn start(control: Arc<dyn ConnectionControl>, place: RequestPlace) -> Self {
        control.on_request(place);
        Self(control)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.on_request_ended();
    }
}

/// A response's body with the guard of its request, and what that holds.
pub struct CountedBody {
    body: HoldingBody<ClientBody>,
    _guard: RequestGuard,
}

impl CountedBody {
    pub fn new(body: HoldingBody<ClientBody>, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = <ClientBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
