use {
    crate::{
        backend::Connection,
        clock::{self, sleep_until_deadline},
    },
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{ready, Context, Poll},
        time::{Duration, Instant},
    },
};

/// How a proxied body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyBodyEnd {
    Complete,
    /// The connection to the back end failed.
    Broken,
    /// The deadline passed.
    TimedOut,
    ClientDisconnected,
}

/// Observes the progress of a proxied body.
pub trait ProxyBodyObserver: Send + Sync {
    /// Called when the first frame has arrived.
    fn on_first_frame(&mut self);
    /// Called once when the body has ended, with the longest pause between two frames.
    fn on_end(&mut self, end: ProxyBodyEnd, longest_pause: Duration);
}

/// A back end's response body that is forwarded to the client frame by frame.
///
/// Dropping it closes the connection to the back end.
pub struct ProxyBody {
    body: Incoming,
    _connection: Connection,
    deadline: Instant,
    timer: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
    last_frame_at: Option<Instant>,
    longest_pause: Duration,
    observer: Box<dyn ProxyBodyObserver>,
    has_ended: bool,
}

impl ProxyBody {
    pub fn new(
        body: Incoming,
        connection: Connection,
        deadline: Instant,
        observer: Box<dyn ProxyBodyObserver>,
    ) -> Self {
        Self {
            body,
            _connection: connection,
            deadline,
            timer: Box::pin(sleep_until_deadline(deadline)),
            last_frame_at: None,
            longest_pause: Duration::ZERO,
            observer,
            has_ended: false,
        }
    }

    fn end(&mut self, end: ProxyBodyEnd) {
        if !self.has_ended {
            self.has_ended = true;
            self.observer.on_end(end, self.longest_pause);
        }
    }
    fn on_frame(&mut self) {
        let now = clock::now();
        match self.last_frame_at {
            Some(last) => {
                self.longest_pause = self.longest_pause.max(now.saturating_duration_since(last))
            }
            None => self.observer.on_first_frame(),
        }
        self.last_frame_at = Some(now);
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let is_past_deadline = clock::now() >= self.deadline;
        if is_past_deadline || self.timer.as_mut().poll(cx).is_ready() {
            self.end(ProxyBodyEnd::TimedOut);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                self.on_frame();
                if self.body.is_end_stream() {
                    self.end(ProxyBodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                self.end(ProxyBodyEnd::Broken);
                Poll::Ready(Some(Err(io::Error::other(e))))
            }
            None => {
                self.end(ProxyBodyEnd::Complete);
                Poll::Ready(None)
            }
        }
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ProxyBody {
    fn drop(&mut self) {
        self.end(ProxyBodyEnd::ClientDisconnected);
    }
}
