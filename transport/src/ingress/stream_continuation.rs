use {
    crate::backend::{BackendBody, Connection},
    chalkcart_coordination::{
        response_end::ResponseEnd,
        stream_recovery::{EventAssembler, EventId, NotResumed},
    },
    std::{
        future::Future,
        pin::Pin,
        sync::{Mutex, PoisonError},
        task::{Context, Poll},
        time::{Duration, Instant},
    },
};

/// A stream that broke off before its end.
#[derive(Debug)]
pub struct StreamCut {
    /// The connection to the engine, which may still be open.
    pub connection: Connection,
    /// Why the engine's stream is not used any further; `None` if the engine broke it off.
    pub fault: Option<NotResumed>,
    /// The last event that the client has, or why the stream can't be resumed.
    pub last_event: Result<Option<EventId>, NotResumed>,
    /// Whether the engine had sent a complete event.
    pub has_progress: bool,
    /// How the engine's response ended.
    pub response: ResponseEnd,
}

/// The stream of an engine that continues a response.
pub struct Continuation<O: ?Sized> {
    pub body: BackendBody,
    pub observer: Box<O>,
}

/// The events of a stream that may be resumed.
pub struct StreamEvents {
    pub assembler: EventAssembler,
    /// Why the engine's stream must not be used beyond the bytes that were passed on.
    pub(super) fault: Option<NotResumed>,
}

impl StreamEvents {
    pub fn new(assembler: EventAssembler) -> Self {
        Self {
            assembler,
            fault: None,
        }
    }
}

type BoxedResume<O> = Pin<Box<dyn Future<Output = Option<Continuation<O>>> + Send>>;

/// Finds an engine that continues a response; `None` if there is none.
///
/// The mutex is never locked: it makes the future `Sync`, as response bodies must be.
pub struct ResumeFuture<O: ?Sized>(Mutex<BoxedResume<O>>);

impl<O: ?Sized> ResumeFuture<O> {
    pub fn new(future: impl Future<Output = Option<Continuation<O>>> + Send + 'static) -> Self {
        Self(Mutex::new(Box::pin(future)))
    }
}

impl<O: ?Sized> Future for ResumeFuture<O> {
    type Output = Option<Continuation<O>>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Self::Output> {
        let future = self.get_mut().0.get_mut();
        let future = future.unwrap_or_else(PoisonError::into_inner);
        future.as_mut().poll(cx)
    }
}

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

/// What was seen of a proxied body that has ended.
#[derive(Debug, Clone, Copy)]
pub struct ProxyBodyReport {
    pub end: ProxyBodyEnd,
    /// The longest pause between two frames.
    pub longest_pause: Duration,
    /// How the last back end's response ended.
    pub response: ResponseEnd,
}

/// Observes the progress of a proxied body.
pub trait ProxyBodyObserver: Send + Sync {
    /// Called when the first frame of a back end has arrived.
    fn on_first_frame(&mut self);
    /// Called for each frame, also the first.
    fn on_frame(&mut self, now: Instant);
    /// Called once when the body has ended.
    fn on_end(&mut self, report: ProxyBodyReport);
    /// Called when a stream with `StreamEvents` was cut; returns the search for an engine that
    /// continues it, or `None` if the response ends as broken. The observer of the continuation
    /// replaces this one.
    fn resume(&mut self, cut: StreamCut) -> Option<ResumeFuture<dyn ProxyBodyObserver>>;
}
