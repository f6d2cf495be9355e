use {
    crate::streams::SharedStream,
    chalkcart_coordination::{
        sidecar::{OrderFence, RunEnd},
        slots::AdapterKey,
        stream::Assembler,
    },
    chalkcart_protocol::peer::{FrameBody, GenerateWork, Outcome, Reason},
    chalkcart_state::ids::RequestId,
    chalkcart_transport::clock::{self, sleep_until_deadline},
    chalkcart_transport::engine::{
        AdapterBody, Engine, EngineError, EngineEvent, EngineEvents, EngineRun, EventBody,
    },
    futures::StreamExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
    tokio_util::sync::CancellationToken,
};

/// Maximum number of events buffered while an earlier one is missing.
const MAX_OUT_OF_ORDER_EVENTS: usize = 256;
/// Time after which a missing event is requested again by a resume.
const GAP_TIMEOUT: Duration = Duration::from_millis(300);
/// Consecutive resumes without a new event after which the run counts as lost.
const MAX_RESUMES: u32 = 5;
/// Pause after a failed resume; it grows linearly with the number of resumes.
const RESUME_BACKOFF: Duration = Duration::from_millis(50);

/// Parameters of a run besides its work.
#[derive(Debug, Clone, Copy)]
pub struct RunContext {
    /// `None` for a plain service.
    pub order: Option<OrderFence>,
    pub priority: u8,
    /// Nothing is sent to the target after this time.
    pub deadline: Instant,
}

/// Why reading the events stopped.
enum ReadEnd {
    /// The stream was interrupted or has a gap.
    Interrupted,
    Failed(Reason, String),
    Finished,
}

/// Runs one request on an engine and restores the order of its events.
pub struct EngineRunner {
    engine: Arc<dyn Engine>,
    stream: Arc<SharedStream>,
    request: RequestId,
    work: GenerateWork,
    events: Assembler<EventBody>,
    token_count: u64,
    started: Instant,
}

impl EngineRunner {
    pub fn new(
        engine: Arc<dyn Engine>,
        stream: Arc<SharedStream>,
        request: RequestId,
        work: GenerateWork,
    ) -> Self {
        Self {
            engine,
            stream,
            request,
            work,
            events: Assembler::new(0, MAX_OUT_OF_ORDER_EVENTS),
            token_count: 0,
            started: clock::now(),
        }
    }

    /// Runs until the end, a cancellation, or the deadline.
    pub async fn run(mut self, context: RunContext, cancellation: CancellationToken) -> RunEnd {
        let Some(order) = context.order else {
            return self.end(Outcome::NotRun, Reason::EngineFailed, "no fence");
        };
        if clock::now() >= context.deadline {
            return self.end(Outcome::NotRun, Reason::DeadlinePassed, "");
        }
        let run = EngineRun {
            request: self.request.clone(),
            work: self.work.clone(),
            priority: context.priority,
        };
        let events = match self.engine.generate(order, &run).await {
            Ok(events) => events,
            Err(e) if e.proves_not_done() => return self.end_unstarted(&e),
            Err(e) => return self.end_lost(&e.to_string()).await,
        };
        tokio::select! {
            end = self.read_with_resumes(events) => match end {
                Ok(()) => self.end_completed(),
                Err((Reason::Lost, detail)) => self.end_lost(&detail).await,
                Err((reason, detail)) => self.end(Outcome::MayHaveRun, reason, &detail),
            },
            () = sleep_until_deadline(context.deadline) => self.end_cancelled(Reason::DeadlinePassed).await,
            _ = cancellation.cancelled() => self.end_cancelled(Reason::Cancelled).await,
        }
    }

    async fn read_with_resumes(
        &mut self,
        mut events: EngineEvents,
    ) -> Result<(), (Reason, String)> {
        let mut resume_count = 0;
        loop {
            let before = self.events.next();
            match self.read_stream(&mut events).await {
                ReadEnd::Finished => return Ok(()),
                ReadEnd::Failed(reason, detail) => return Err((reason, detail)),
                ReadEnd::Interrupted => {}
            }
            if self.events.next() > before {
                resume_count = 0;
            }
            events = self.resume(&mut resume_count).await?;
        }
    }

    async fn resume(&self, resume_count: &mut u32) -> Result<EngineEvents, (Reason, String)> {
        let mut last_error = "stream broke".to_string();
        while *resume_count < MAX_RESUMES {
            *resume_count += 1;
            match self.engine.resume(&self.request, self.events.next()).await {
                Ok(events) => return Ok(events),
                Err(e @ (EngineError::Refused(_) | EngineError::Fenced(_))) => {
                    return Err((Reason::EngineFailed, e.to_string()));
                }
                Err(e) => last_error = e.to_string(),
            }
            tokio::time::sleep(RESUME_BACKOFF * *resume_count).await;
        }
        Err((Reason::Lost, last_error))
    }

    async fn read_stream(&mut self, events: &mut EngineEvents) -> ReadEnd {
        loop {
            let next = match self.events.has_gap() {
                true => timeout(GAP_TIMEOUT, events.next()).await,
                false => Ok(events.next().await),
            };
            let event = match next {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(_))) | Ok(None) | Err(_) => return ReadEnd::Interrupted,
            };
            if let Some(end) = self.accept(event) {
                return end;
            }
        }
    }

    fn accept(&mut self, event: EngineEvent) -> Option<ReadEnd> {
        let Ok(ready) = self.events.accept(event.sequence, event.body) else {
            return Some(ReadEnd::Interrupted);
        };
        for body in ready {
            match body {
                EventBody::Token(text) => {
                    self.token_count += 1;
                    self.stream.push(FrameBody::Token(text));
                }
                EventBody::Finished(ran) => return Some(self.finish(ran)),
                EventBody::Failed(detail) => {
                    return Some(ReadEnd::Failed(Reason::EngineFailed, detail));
                }
            }
        }
        None
    }

    /// Fails the run if the engine used another adapter or version than requested.
    fn finish(&self, ran: AdapterBody) -> ReadEnd {
        let requested = AdapterKey::from(&self.work);
        let ran = AdapterKey::from(ran);
        if ran != requested {
            return ReadEnd::Failed(
                Reason::WrongVersion,
                format!("ran {ran}, asked {requested}"),
            );
        }
        self.stream.push(FrameBody::Finished {
            adapter: ran.adapter,
            version: ran.version,
        });
        ReadEnd::Finished
    }

    fn end_completed(self) -> RunEnd {
        RunEnd {
            outcome: Outcome::Ran,
            failure: None,
            detail: String::new(),
            tokens: self.token_count,
            duration: clock::elapsed(self.started),
            may_still_run: false,
        }
    }

    fn end(self, outcome: Outcome, reason: Reason, detail: &str) -> RunEnd {
        RunEnd {
            outcome,
            failure: Some(reason),
            detail: detail.to_string(),
            tokens: self.token_count,
            duration: clock::elapsed(self.started),
            may_still_run: false,
        }
    }

    fn end_unstarted(self, e: &EngineError) -> RunEnd {
        let reason = match e {
            EngineError::Client(_) => Reason::Unreachable,
            EngineError::Fenced(_) => Reason::Superseded,
            EngineError::Refused(_) => Reason::EngineFailed,
        };
        self.end(Outcome::NotRun, reason, &e.to_string())
    }

    /// Cancels the run on the engine. It may still run unless the engine confirms this.
    async fn end_lost(self, detail: &str) -> RunEnd {
        let is_confirmed = self.engine.cancel(&self.request).await.is_ok();
        let mut end = self.end(Outcome::MayHaveRun, Reason::Lost, detail);
        end.may_still_run = !is_confirmed;
        end
    }

    async fn end_cancelled(self, reason: Reason) -> RunEnd {
        let mut end = self.end_lost("stopped").await;
        end.failure = Some(reason);
        end
    }
}
