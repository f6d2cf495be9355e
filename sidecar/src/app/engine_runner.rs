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

/// events held while an earlier one is missing
const MAX_EARLY: usize = 256;
/// a missing event is asked for again after this long
const GAP_PATIENCE: Duration = Duration::from_millis(300);
/// resumes without a new event before the run counts as lost
const MAX_RESUMES: u32 = 5;
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// what a run needs besides its work
#[derive(Debug, Clone, Copy)]
pub struct RunContext {
    /// none for a plain service
    pub order: Option<OrderFence>,
    pub priority: u8,
    /// nothing is sent after this
    pub deadline: Instant,
}

/// why reading the events stopped
enum Stopped {
    /// the stream broke or has a hole
    Broken,
    Failed(Reason, String),
    Finished,
}

/// runs one request on an engine and puts its tokens in order
pub struct EngineRunner {
    engine: Arc<dyn Engine>,
    stream: Arc<SharedStream>,
    request: RequestId,
    work: GenerateWork,
    events: Assembler<EventBody>,
    tokens: u64,
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
            events: Assembler::new(0, MAX_EARLY),
            tokens: 0,
            started: clock::now(),
        }
    }

    /// run to the end, a stop, or the deadline
    pub async fn run(mut self, cx: RunContext, stop: CancellationToken) -> RunEnd {
        let Some(order) = cx.order else {
            return self.end(Outcome::NotRun, Reason::EngineFailed, "no fence");
        };
        if clock::now() >= cx.deadline {
            return self.end(Outcome::NotRun, Reason::DeadlinePassed, "");
        }
        let run = EngineRun {
            request: self.request.clone(),
            work: self.work.clone(),
            priority: cx.priority,
        };
        let events = match self.engine.generate(order, &run).await {
            Ok(events) => events,
            Err(e) if e.proves_not_done() => return self.end_unstarted(&e),
            Err(e) => return self.end_lost(&e.to_string()).await,
        };
        tokio::select! {
            end = self.read(events) => match end {
                Ok(()) => self.end_whole(),
                Err((Reason::Lost, detail)) => self.end_lost(&detail).await,
                Err((reason, detail)) => self.end(Outcome::MayHaveRun, reason, &detail),
            },
            () = sleep_until_deadline(cx.deadline) => self.end_stopped(Reason::DeadlinePassed).await,
            _ = stop.cancelled() => self.end_stopped(Reason::Cancelled).await,
        }
    }

    async fn read(&mut self, mut events: EngineEvents) -> Result<(), (Reason, String)> {
        let mut resumes = 0;
        loop {
            let before = self.events.next();
            match self.read_some(&mut events).await {
                Stopped::Finished => return Ok(()),
                Stopped::Failed(reason, detail) => return Err((reason, detail)),
                Stopped::Broken => {}
            }
            if self.events.next() > before {
                resumes = 0;
            }
            events = self.resume(&mut resumes).await?;
        }
    }

    async fn resume(&self, resumes: &mut u32) -> Result<EngineEvents, (Reason, String)> {
        let mut last = "stream broke".to_string();
        while *resumes < MAX_RESUMES {
            *resumes += 1;
            match self.engine.resume(&self.request, self.events.next()).await {
                Ok(events) => return Ok(events),
                Err(e @ (EngineError::Refused(_) | EngineError::Fenced(_))) => {
                    return Err((Reason::EngineFailed, e.to_string()));
                }
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(RESUME_PAUSE * *resumes).await;
        }
        Err((Reason::Lost, last))
    }

    async fn read_some(&mut self, events: &mut EngineEvents) -> Stopped {
        loop {
            let next = match self.events.has_gap() {
                true => timeout(GAP_PATIENCE, events.next()).await,
                false => Ok(events.next().await),
            };
            let event = match next {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(_))) | Ok(None) | Err(_) => return Stopped::Broken,
            };
            if let Some(stopped) = self.accept(event) {
                return stopped;
            }
        }
    }

    fn accept(&mut self, event: EngineEvent) -> Option<Stopped> {
        let Ok(ready) = self.events.accept(event.sequence, event.body) else {
            return Some(Stopped::Broken);
        };
        for body in ready {
            match body {
                EventBody::Token(text) => {
                    self.tokens += 1;
                    self.stream.push(FrameBody::Token(text));
                }
                EventBody::Finished(ran) => return Some(self.finish(ran)),
                EventBody::Failed(detail) => {
                    return Some(Stopped::Failed(Reason::EngineFailed, detail));
                }
            }
        }
        None
    }

    /// the answer counts only if the engine ran what was asked
    fn finish(&self, ran: AdapterBody) -> Stopped {
        let asked = AdapterKey::from(&self.work);
        let ran = AdapterKey::from(ran);
        if ran != asked {
            return Stopped::Failed(Reason::WrongVersion, format!("ran {ran}, asked {asked}"));
        }
        self.stream.push(FrameBody::Finished {
            adapter: ran.adapter,
            version: ran.version,
        });
        Stopped::Finished
    }

    fn end_whole(self) -> RunEnd {
        RunEnd {
            outcome: Outcome::Ran,
            failure: None,
            detail: String::new(),
            tokens: self.tokens,
            duration: clock::elapsed(self.started),
            may_still_run: false,
        }
    }

    fn end(self, outcome: Outcome, reason: Reason, detail: &str) -> RunEnd {
        RunEnd {
            outcome,
            failure: Some(reason),
            detail: detail.to_string(),
            tokens: self.tokens,
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

    /// the engine may go on with it, unless it confirms a cancel
    async fn end_lost(self, detail: &str) -> RunEnd {
        let confirmed = self.engine.cancel(&self.request).await.is_ok();
        let mut end = self.end(Outcome::MayHaveRun, Reason::Lost, detail);
        end.may_still_run = !confirmed;
        end
    }

    async fn end_stopped(self, reason: Reason) -> RunEnd {
        let mut end = self.end_lost("stopped").await;
        end.failure = Some(reason);
        end
    }
}
