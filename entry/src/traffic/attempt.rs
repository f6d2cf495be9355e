use {
    super::{Job, ResponsePart},
    crate::{app::Shared, control::EntryEvent},
    chalkcart_coordination::stream::Assembler,
    chalkcart_protocol::peer::{
        path, CancelAnswer, CancelOrder, Frame, FrameBody, Outcome, Reason, Refusal, ResumeOrder,
        Step, Work,
    },
    chalkcart_state::ids::{BoxName, Sequence},
    chalkcart_transport::{
        client::{ClientError, ClientStep, FrameStream},
        clock::{self, before_deadline},
    },
    futures::StreamExt,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Time after the deadline for the target's own deadline refusal to arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);
/// Maximum number of frames buffered while an earlier one is missing.
const MAX_OUT_OF_ORDER_FRAMES: usize = 256;
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why reading a stream of frames ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// The complete response was delivered.
    Complete,
    /// The target refused the request; this is final.
    Refused(Refusal),
    /// The stream was interrupted and may be resumed.
    Interrupted(String),
    /// No frame arrived within the silence timeout.
    Unresponsive,
    DeadlinePassed,
    CallerDisconnected,
}

/// One request at one target, whose response may take several streams.
pub struct Attempt<'a> {
    pub shared: &'a Shared,
    pub job: &'a Job,
    pub target: BoxName,
    pub addr: SocketAddr,
    assembler: Assembler<FrameBody>,
    caller: &'a mpsc::Sender<ResponsePart>,
    /// Tokens delivered to the caller by all attempts.
    delivered_tokens: &'a mut Vec<String>,
}

impl<'a> Attempt<'a> {
    pub fn new(
        shared: &'a Shared,
        job: &'a Job,
        target: BoxName,
        addr: SocketAddr,
        caller: &'a mpsc::Sender<ResponsePart>,
        delivered_tokens: &'a mut Vec<String>,
    ) -> Self {
        Self {
            shared,
            job,
            target,
            addr,
            assembler: Assembler::new(0, MAX_OUT_OF_ORDER_FRAMES),
            caller,
            delivered_tokens,
        }
    }

    /// Sends the request. A request with a reserved id may be sent to its target again.
    pub async fn send(&self) -> Result<FrameStream, ClientError> {
        let order = self
            .job
            .work_order(self.delivered_tokens, self.shared.permit_issuer());
        let peers = &self.shared.peers;
        self.with_response_timeout(peers.stream(self.addr, path::RUN, &order))
            .await
    }

    /// Requests the frames that are missing after an interrupted stream.
    pub async fn resume(&self) -> Result<FrameStream, ClientError> {
        let order = ResumeOrder {
            request: self.job.request_id.clone(),
            from: self.assembler.next(),
        };
        let peers = &self.shared.peers;
        self.with_response_timeout(peers.stream(self.addr, path::RESUME, &order))
            .await
    }

    /// Reads frames and delivers them to the caller until the stream ends.
    pub async fn read(&mut self, stream: &mut FrameStream) -> StreamEnd {
        loop {
            let frame = match self.next_frame(stream).await {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            let end = match frame {
                Frame::Report(report) => {
                    self.shared.control.send(EntryEvent::ReportReceived(report));
                    None
                }
                Frame::Numbered { sequence, body } => self.accept(sequence, body).await,
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Returns the sequence number of the first frame that was not delivered.
    pub fn next_sequence(&self) -> Sequence {
        self.assembler.next()
    }

    /// Cancels the request at the target in the background; failures are ignored.
    pub fn cancel(&self) {
        let (peers, addr) = (self.shared.peers.clone(), self.addr);
        let order = CancelOrder {
            request: self.job.request_id.clone(),
        };
        tokio::spawn(async move {
            let _: Result<CancelAnswer, _> =
                peers.call(addr, path::CANCEL, &order, CANCEL_TIMEOUT).await;
        });
    }

    pub fn refusal(&self, outcome: Outcome, step: Step, reason: Reason) -> Refusal {
        Refusal::new(outcome, step, &self.target, reason)
    }

    /// Reports to the control thread that the target is unresponsive.
    pub fn report_unresponsive(&self) {
        let event = EntryEvent::TargetUnresponsive(self.target.clone());
        self.shared.control.send(event);
    }

    /// Waits for `delay`, but not past the request's deadline.
    pub async fn wait_before_retry(&self, delay: Duration) {
        sleep(delay.min(self.job.remaining())).await;
    }

    /// Limits the wait for a response's head, which a working target sends at once.
    async fn with_response_timeout<F>(&self, call: F) -> Result<FrameStream, ClientError>
    where
        F: std::future::Future<Output = Result<FrameStream, ClientError>>,
    {
        let limit = self.shared.settings.silence();
        match timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::new(
                ClientStep::Send,
                self.addr,
                "no sign of life",
            )),
        }
    }

    async fn next_frame(&self, stream: &mut FrameStream) -> Result<Frame, StreamEnd> {
        let silence_deadline = clock::now() + self.shared.settings.silence();
        let response_deadline = self.job.deadline + DEADLINE_GRACE;
        let until = silence_deadline.min(response_deadline);
        tokio::select! {
            next = before_deadline(until, stream.next()) => match next {
                Ok(Some(Ok(frame))) => Ok(frame),
                Ok(Some(Err(e))) => Err(StreamEnd::Interrupted(e.to_string())),
                Ok(None) => Err(StreamEnd::Interrupted("stream ended early".to_string())),
                Err(_) if until == response_deadline => Err(StreamEnd::DeadlinePassed),
                Err(_) => Err(StreamEnd::Unresponsive),
            },
            () = self.caller.closed() => Err(StreamEnd::CallerDisconnected),
        }
    }

    async fn accept(&mut self, sequence: u64, body: FrameBody) -> Option<StreamEnd> {
        let ready = match self.assembler.accept(sequence, body) {
            Ok(ready) => ready,
            Err(e) => return Some(StreamEnd::Interrupted(e.to_string())),
        };
        for body in ready {
            if let Some(end) = self.deliver(body).await {
                return Some(end);
            }
        }
        None
    }

    async fn deliver(&mut self, body: FrameBody) -> Option<StreamEnd> {
        let (part, is_last) = match body {
            FrameBody::Refused(refusal) => return Some(StreamEnd::Refused(refusal)),
            FrameBody::Token(text) => {
                self.delivered_tokens.push(text.clone());
                (ResponsePart::Token(text), false)
            }
            FrameBody::Body(body) => (ResponsePart::Body(body), true),
            FrameBody::Finished { adapter, version } => {
                if let Some(refusal) = self.check_version(&adapter, version) {
                    return Some(StreamEnd::Refused(refusal));
                }
                (ResponsePart::Finished { adapter, version }, true)
            }
        };
        match self.caller.send(part).await {
            Err(_) => Some(StreamEnd::CallerDisconnected),
            Ok(()) if is_last => Some(StreamEnd::Complete),
            Ok(()) => None,
        }
    }

    /// Returns a refusal if the target ran another adapter or version than requested.
    fn check_version(&self, adapter: &str, version: u32) -> Option<Refusal> {
        match &self.job.work {
            Work::Generate(work) if work.adapter == adapter && work.version == version => None,
            _ => {
                let refusal = self.refusal(Outcome::MayHaveRun, Step::Run, Reason::WrongVersion);
                Some(refusal.with_detail(format!("ran {adapter}@{version}")))
            }
        }
    }
}
