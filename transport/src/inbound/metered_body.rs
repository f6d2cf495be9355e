use {
    super::{BodyError, BulkAllowance, ByteMeter, HeldParts},
    bytes::Bytes,
    http::Response,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{ready, Context, Poll},
    },
};

/// The body of a response, which fails once the response has too many bytes.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: ByteMeter,
    /// Most bytes of the response, with its head and framing.
    max_bytes: usize,
    /// What was read ahead.
    ahead: Option<HeldParts>,
    allowance: Option<BulkAllowance>,
}

impl MeteredBody {
    /// A body without a bound on its length.
    pub fn new(body: Incoming, meter: ByteMeter) -> Self {
        Self {
            body,
            meter,
            max_bytes: usize::MAX,
            ahead: None,
            allowance: None,
        }
    }

    /// Takes a response of a connection that carries a meter, and the length that it declares.
    ///
    /// # Errors
    /// More of the body came with the head.
    pub fn of_response(
        response: Response<Incoming>,
        length: Option<u64>,
    ) -> Result<Response<Self>, BodyError> {
        let meter = response.extensions().get::<ByteMeter>().cloned();
        // a connection without a meter is none of ours
        let meter = meter.unwrap_or_else(|| ByteMeter::with_buffer(0));
        meter.on_length(length)?;
        Ok(response.map(|body| Self::new(body, meter)))
    }

    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Has the response take turns with other large ones.
    pub fn set_allowance(&mut self, allowance: BulkAllowance) {
        self.allowance = Some(allowance);
    }

    /// Puts back all that was read so far.
    pub fn put_back(&mut self, read: HeldParts) {
        self.ahead = Some(read);
    }

    /// Returns the next part of what was read ahead.
    fn next_ahead(&mut self) -> Option<Bytes> {
        let ahead = self.ahead.as_mut()?;
        let part = ahead.pop();
        if ahead.is_empty() {
            self.ahead = None;
        }
        part
    }

    fn check_length(&self) -> Result<(), BodyError> {
        let declared = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        match self.meter.total().max(declared) > self.max_bytes {
            true => Err(BodyError::TooLong {
                max: self.max_bytes,
            }),
            false => Ok(()),
        }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(part) = this.next_ahead() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if let Err(e) = this.check_length() {
            log::warn!(cause = e.to_string().as_str(); "inbound: too many bytes");
            return Poll::Ready(Some(Err(e)));
        }
        if let Some(allowance) = &mut this.allowance {
            ready!(allowance.poll_allowed(cx, this.meter.total()));
        }
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        // before the last part is passed on, with which the receiver has the declared length
        if this.body.is_end_stream() && this.meter.is_end_exceeded() {
            return Poll::Ready(Some(Err(BodyError::BeyondEnd)));
        }
        if let Some(Ok(frame)) = &frame {
            if frame.data_ref().is_some_and(|data| !data.is_empty()) {
                this.meter.on_part();
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        let is_at_end = self.ahead.is_none() && self.body.is_end_stream();
        is_at_end && !self.meter.is_end_exceeded()
    }

    fn size_hint(&self) -> SizeHint {
        let ahead = self.ahead.as_ref().map_or(0, |read| read.len() as u64);
        let mut hint = self.body.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + ahead);
        }
        hint.set_lower(hint.lower() + ahead);
        hint
    }
}
