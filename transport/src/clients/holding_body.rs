use {
    super::{BusyGuard, HeldRequest},
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A response's body with what its request holds, which is free once the response has ended.
#[derive(Debug)]
pub struct HoldingBody<B> {
    body: B,
    _held: (Option<HeldRequest>, BusyGuard),
}

impl<B> HoldingBody<B> {
    pub fn new(body: B, held: Option<HeldRequest>, busy: BusyGuard) -> Self {
        Self {
            body,
            _held: (held, busy),
        }
    }
}

impl<B: Body + Unpin> Body for HoldingBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
