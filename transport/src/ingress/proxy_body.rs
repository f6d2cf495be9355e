use {
    super::{
        frame_pauses::FramePauses,
        last_byte::LastByte,
        stream_continuation::{
            Continuation, ProxyBodyEnd, ProxyBodyObserver, ProxyBodyReport, ResumeFuture,
            StreamCut, StreamEvents,
        },
    },
    crate::{
        backend::{BackendBody, Connection},
        clock::{self, sleep_until_deadline},
        inbound::{BodyError, MeteredBody},
    },
    bytes::Bytes,
    chalkcart_coordination::{
        response_end::{EndCause, Framing, ResponseProgress, StreamPosition, Verdict},
        stream_recovery::{NotResumed, StreamEnd},
    },
    http_body::{Body, Frame, SizeHint},
    std::{
        future::Future,
        io, mem,
        pin::Pin,
        task::{ready, Context, Poll},
        time::Instant,
    },
};

/// Where the next bytes come from.
enum Source {
    Backend {
        body: MeteredBody,
        connection: Connection,
    },
    /// An engine that continues the stream is being found.
    Resuming(ResumeFuture<dyn ProxyBodyObserver>),
    Complete,
    Failed,
}

/// What a received frame or the end of a body means for the client.
enum Step {
    Forward(Frame<Bytes>),
    /// Nothing is passed on yet.
    Continue,
    /// The engine's stream can't be used any further.
    Cut(Option<NotResumed>),
}

/// A back end's response body that is forwarded to the client frame by frame.
///
/// A body with `StreamEvents` is forwarded in complete events, and is continued by another
/// engine if its stream is cut. Dropping the body closes the connection to the back end.
pub struct ProxyBody {
    source: Source,
    /// Progress of the last back end's response.
    progress: ResponseProgress,
    /// What ended the bytes of the last back end that broke off.
    cut_cause: EndCause,
    events: Option<StreamEvents>,
    last_byte: LastByte,
    /// Trailers that follow the bytes that were held back.
    trailers: Option<Frame<Bytes>>,
    deadline: Instant,
    timer: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
    pauses: FramePauses,
    /// Whether the current back end has sent a frame.
    has_started: bool,
    observer: Box<dyn ProxyBodyObserver>,
    has_ended: bool,
}

impl ProxyBody {
    /// `events` is present for a stream that may be resumed.
    pub fn new(
        body: BackendBody,
        deadline: Instant,
        observer: Box<dyn ProxyBodyObserver>,
        events: Option<StreamEvents>,
    ) -> Self {
        let BackendBody {
            body,
            connection,
            progress,
        } = body;
        Self {
            source: Source::Backend { body, connection },
            progress,
            cut_cause: EndCause::Local,
            events,
            last_byte: LastByte::default(),
            trailers: None,
            deadline,
            timer: Box::pin(sleep_until_deadline(deadline)),
            pauses: FramePauses::default(),
            has_started: false,
            observer,
            has_ended: false,
        }
    }

    fn end(&mut self, end: ProxyBodyEnd) {
        if !self.has_ended {
            self.has_ended = true;
            self.observer.on_end(ProxyBodyReport {
                end,
                longest_pause: self.pauses.longest(),
                response: self.progress.ended(self.end_cause(end)),
            });
        }
    }

    fn end_cause(&self, end: ProxyBodyEnd) -> EndCause {
        match end {
            ProxyBodyEnd::Complete => EndCause::of_complete(self.progress.framing()),
            ProxyBodyEnd::Broken => self.cut_cause,
            ProxyBodyEnd::TimedOut | ProxyBodyEnd::ClientDisconnected => EndCause::Local,
        }
    }

    fn fail(
        &mut self,
        end: ProxyBodyEnd,
        error: io::Error,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.source = Source::Failed;
        self.end(end);
        Poll::Ready(Some(Err(error)))
    }

    fn on_frame(&mut self) {
        let now = clock::now();
        self.pauses.on_frame(now);
        self.observer.on_frame(now);
        if !self.has_started {
            self.has_started = true;
            self.observer.on_first_frame();
        }
    }

    fn on_received(&mut self, frame: Frame<Bytes>) -> Step {
        self.on_frame();
        if let Some(data) = frame.data_ref() {
            self.progress.on_data(data);
        }
        if self.progress.is_event_too_long() {
            log::warn!(cause = BodyError::EventTooLong.to_string().as_str(); "inbound: too many bytes");
            self.cut_cause = EndCause::TooLong;
            return Step::Cut(None);
        }
        if self.events.is_none() {
            return self.forward_unassembled(frame);
        }
        match frame.into_data() {
            Ok(data) => self.assemble(&data),
            Err(trailers) => {
                self.trailers = Some(trailers);
                Step::Continue
            }
        }
    }

    /// Passes on a frame of a stream that is not resumed.
    fn forward_unassembled(&mut self, frame: Frame<Bytes>) -> Step {
        let data = match frame.into_data() {
            Ok(data) => self.hold_last_byte(data),
            Err(trailers) => return Step::Forward(trailers),
        };
        if self.is_whole_at_end() {
            self.end(ProxyBodyEnd::Complete);
        }
        match data.is_empty() {
            true => Step::Continue,
            false => Step::Forward(Frame::data(data)),
        }
    }

    fn hold_last_byte(&mut self, data: Bytes) -> Bytes {
        if self.progress.framing() != Framing::Length {
            return data;
        }
        let is_inside_event = self.progress.position() == Some(StreamPosition::InsideEvent);
        self.last_byte.pass(&data, is_inside_event)
    }

    /// Passes on the complete events of a stream that may be resumed.
    fn assemble(&mut self, data: &[u8]) -> Step {
        let Some(events) = &mut self.events else {
            return Step::Continue;
        };
        let pushed = events.assembler.push(data);
        if let Some(fault) = pushed.fault {
            // the events before it were checked
            return match pushed.passed.is_empty() {
                true => Step::Cut(Some(fault)),
                false => {
                    events.fault = Some(fault);
                    Step::Forward(Frame::data(pushed.passed.into()))
                }
            };
        }
        match pushed.passed.is_empty() {
            true => Step::Continue,
            false => Step::Forward(Frame::data(pushed.passed.into())),
        }
    }

    /// Handles the end of the back end's body.
    fn on_body_end(&mut self) -> Step {
        let verdict = self.progress.verdict();
        self.cut_cause = EndCause::of_complete(self.progress.framing());
        if let Some(events) = &mut self.events {
            match events.assembler.end(verdict) {
                StreamEnd::Cut => return Step::Cut(None),
                StreamEnd::Complete(rest) if !rest.is_empty() => {
                    self.source = Source::Complete;
                    return Step::Forward(Frame::data(rest.into()));
                }
                StreamEnd::Complete(_) => {}
            }
        }
        if verdict == Verdict::BrokenOff {
            return Step::Cut(None);
        }
        self.source = Source::Complete;
        Step::Continue
    }

    /// Starts to find an engine that continues the stream; returns false if it can't be resumed.
    fn try_resume(&mut self, fault: Option<NotResumed>) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        let Source::Backend { body, connection } = mem::replace(&mut self.source, Source::Failed)
        else {
            return false;
        };
        drop(body);
        self.trailers = None;
        events.fault = None;
        let cut = StreamCut {
            connection,
            fault,
            last_event: events.assembler.cut(),
            has_progress: events.assembler.has_event(),
            response: self.progress.ended(self.cut_cause),
        };
        match self.observer.resume(cut) {
            Some(resume) => self.source = Source::Resuming(resume),
            None => return false,
        }
        true
    }

    fn on_resumed(&mut self, continuation: Continuation<dyn ProxyBodyObserver>) {
        if let Some(events) = &mut self.events {
            events.assembler.start_continuation();
        }
        self.has_started = false;
        self.observer = continuation.observer;
        let BackendBody {
            body,
            connection,
            progress,
        } = continuation.body;
        self.progress = progress;
        self.source = Source::Backend { body, connection };
    }

    fn is_whole_at_end(&self) -> bool {
        self.is_source_at_end() && self.progress.verdict() == Verdict::Whole
    }

    fn is_source_at_end(&self) -> bool {
        match &self.source {
            Source::Backend { body, .. } => body.is_end_stream(),
            Source::Complete => true,
            Source::Resuming(_) | Source::Failed => false,
        }
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        let is_past_deadline = clock::now() >= this.deadline;
        if is_past_deadline || this.timer.as_mut().poll(cx).is_ready() {
            return this.fail(ProxyBodyEnd::TimedOut, io::ErrorKind::TimedOut.into());
        }
        loop {
            let fault = this.events.as_mut().and_then(|events| events.fault.take());
            let (step, error) = match &mut this.source {
                Source::Backend { .. } if fault.is_some() => {
                    (Step::Cut(fault), io::ErrorKind::InvalidData.into())
                }
                Source::Backend { body, .. } => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => (this.on_received(frame), io::ErrorKind::InvalidData.into()),
                    Some(Err(e)) => {
                        this.cut_cause = e.end_cause();
                        (Step::Cut(None), io::Error::other(e))
                    }
                    None => (this.on_body_end(), io::ErrorKind::UnexpectedEof.into()),
                },
                Source::Resuming(resume) => match ready!(Pin::new(resume).poll(cx)) {
                    Some(continuation) => {
                        this.on_resumed(continuation);
                        continue;
                    }
                    None => {
                        let error = io::ErrorKind::ConnectionAborted.into();
                        return this.fail(ProxyBodyEnd::Broken, error);
                    }
                },
                Source::Complete => {
                    if let Some(trailers) = this.trailers.take() {
                        return Poll::Ready(Some(Ok(trailers)));
                    }
                    this.end(ProxyBodyEnd::Complete);
                    return Poll::Ready(None);
                }
                Source::Failed => {
                    let error = io::ErrorKind::ConnectionAborted.into();
                    return this.fail(ProxyBodyEnd::Broken, error);
                }
            };
            match step {
                Step::Forward(frame) => return Poll::Ready(Some(Ok(frame))),
                Step::Continue => {}
                Step::Cut(fault) => {
                    if fault.is_some() {
                        this.cut_cause = EndCause::Invalid;
                    }
                    if !this.try_resume(fault) {
                        return this.fail(ProxyBodyEnd::Broken, error);
                    }
                }
            }
        }
    }
    fn is_end_stream(&self) -> bool {
        match self.events {
            Some(_) => self.has_ended && matches!(self.source, Source::Complete),
            None => self.is_whole_at_end(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match (&self.source, &self.events) {
            (Source::Backend { body, .. }, None) => body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl Drop for ProxyBody {
    fn drop(&mut self) {
        self.end(ProxyBodyEnd::ClientDisconnected);
    }
}
