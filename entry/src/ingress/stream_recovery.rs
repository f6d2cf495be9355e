//! Finds an engine that continues a stream whose engine failed.

use {
    super::{
        request_exchange::{RequestExchange, SendResult, REGIONS_CHANGED},
        stream_recovery_log::CutLog,
        stream_response::StartedStream,
    },
    chalkcart_coordination::{
        dispatch::{Assignment, Decision, SendOutcome},
        software_versions::VersionMix,
        stream_recovery::{NotResumed, PriorRun, RecoveryInputs},
    },
    chalkcart_transport::{
        backend::is_refused,
        clock::{self, before_deadline},
        ingress::{Continuation, ProxyBodyObserver, StreamCut},
    },
    std::time::{Duration, Instant},
    tokio::{task::yield_now, time::sleep},
};

/// Time between two checks of whether an engine refuses connections. The port of a process that
/// ends may still be open shortly after its first connection was reset.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Checks per cut, which bound the connections to an engine that has not ended.
const MAX_REFUSAL_CHECKS: u32 = 3;

/// Causes of a stream that is not resumed, besides those of `NotResumed` and of the dispatcher.
const DEADLINE_PASSED: &str = NotResumed::Deadline.code();
const KEY_REVOKED: &str = "key";
const OTHER_VERSION: &str = "other_version";
const UNKNOWN_SOFTWARE: &str = "unknown_software";

/// Resumes a stream that is being forwarded to a client.
pub struct StreamRecovery {
    exchange: RequestExchange,
    /// The back end whose stream is forwarded.
    current: Assignment,
}

impl StreamRecovery {
    pub fn new(exchange: RequestExchange, current: Assignment) -> Self {
        Self { exchange, current }
    }

    /// Sends the request to another engine after a cut; `None` if no engine continues it.
    /// `first_part` is the time from the request to the first part of the response.
    pub async fn resume(
        mut self: Box<Self>,
        cut: StreamCut,
        first_part: Option<Duration>,
    ) -> Option<Continuation<dyn ProxyBodyObserver>> {
        let accepted = &self.exchange.accepted;
        let mut log = CutLog::new(
            self.exchange.shared.clone(),
            (&accepted.head.id, &accepted.route.name),
            &self.current,
            self.exchange.deadline,
            &cut,
        );
        match self.find_engine(cut, &mut log).await {
            Ok((assignment, stream)) => {
                log.on_resumed(&assignment);
                Some(self.continue_with(assignment, stream, first_part))
            }
            Err(cause) => {
                log.on_not_resumed(cause);
                None
            }
        }
    }

    fn continue_with(
        mut self: Box<Self>,
        assignment: Assignment,
        stream: StartedStream,
        first_part: Option<Duration>,
    ) -> Continuation<dyn ProxyBodyObserver> {
        let backend = &assignment.backend;
        let mut observer = self
            .exchange
            .stream_observer(backend, stream.guard, first_part);
        self.current = assignment;
        observer.recovery = Some(self);
        let (_, body) = stream.response.into_parts(true);
        Continuation {
            body,
            observer: Box::new(observer),
        }
    }

    /// Returns the engine that continues the stream and its response.
    ///
    /// # Errors
    /// Returns the cause for which the stream is not resumed.
    async fn find_engine(
        &mut self,
        cut: StreamCut,
        log: &mut CutLog,
    ) -> Result<(Assignment, StartedStream), &'static str> {
        self.exchange.last_event = cut.last_event.map_err(NotResumed::code)?;
        self.keep_software_version()?;
        cut.connection.close().await;
        let mut closed_at = clock::now();
        let mut previous = self.current.clone();
        let mut has_progress = cut.has_progress;
        let mut has_stopped = false;
        self.exchange.count_run(&previous);
        loop {
            self.check(log.sends, has_progress)?;
            if !has_stopped {
                log.has_engine_ended = self
                    .wait_until_stopped(&previous, closed_at, has_progress)
                    .await;
                has_stopped = true;
                self.exchange.has_engine_ended = log.has_engine_ended;
                self.exchange.request.has_progress = has_progress;
                // The dispatcher bounds the wait of a request by its time of arrival.
                self.exchange.request.arrived_at = clock::now();
                // The client has a part of the response, so a new engine is worth a wait.
                self.exchange.request.is_repeat = false;
            }
            let assignment = self.next_assignment(log.sends, has_progress).await?;
            log.sends += 1;
            self.exchange.request.send_count += 1;
            self.exchange.log_send(&assignment);
            let outcome = match self.exchange.send_request(&assignment).await {
                SendResult::Streaming(stream) if stream.is_event_stream => {
                    return Ok((assignment, *stream));
                }
                SendResult::Streaming(stream) => {
                    let StartedStream {
                        response,
                        mut guard,
                        ..
                    } = *stream;
                    response.connection.close().await;
                    guard.end(SendOutcome::Failed);
                    "other_format"
                }
                SendResult::TimedOut => return Err(DEADLINE_PASSED),
                SendResult::NotRun(outcome) => {
                    self.exchange
                        .log_send_end(&assignment, outcome.code(), None);
                    if outcome == SendOutcome::Unreachable {
                        self.exchange
                            .request
                            .tried_backends
                            .push(assignment.backend);
                    }
                    continue;
                }
                SendResult::Responded(_) | SendResult::Failed(_) => "failed",
            };
            // A connection that was dropped is closed by its task.
            yield_now().await;
            closed_at = clock::now();
            (has_progress, has_stopped) = (false, false);
            self.exchange.log_send_end(&assignment, outcome, None);
            self.exchange.count_run(&assignment);
            previous = assignment;
        }
    }

    /// Has the stream go on at the software version that began it.
    ///
    /// # Errors
    /// Several versions may serve, and the one that began it is not known.
    fn keep_software_version(&mut self) -> Result<(), &'static str> {
        let versions = &self.exchange.shared.software_versions;
        let request = &mut self.exchange.request;
        if request.software_version.is_none() {
            let known = self.current.software_version.clone();
            // it may have been listed since
            let listed = || versions.version_of(&self.current.backend);
            request.software_version = known.or_else(listed);
        }
        let may_mix = versions.mix(&request.service) != VersionMix::One;
        match request.software_version.is_none() && may_mix {
            true => Err(UNKNOWN_SOFTWARE),
            false => Ok(()),
        }
    }

    /// Checks whether a further engine may be tried.
    fn check(&self, sends: u32, has_progress: bool) -> Result<(), &'static str> {
        let inputs = RecoveryInputs {
            runs: self.exchange.runs,
            max_attempts: self.exchange.accepted.route.max_attempts,
            sends,
            has_progress,
            verdict: self.exchange.crash_verdict(),
            deadline: self.exchange.deadline,
        };
        inputs.check(clock::now()).map_err(NotResumed::code)
    }

    /// Waits until the previous run has stopped; returns whether its engine is known to have
    /// ended.
    ///
    /// A request without progress may have crashed the engine. The crash registry knows of a
    /// crash from the sidecar, which may take longer than a refused connection.
    async fn wait_until_stopped(
        &self,
        previous: &Assignment,
        closed_at: Instant,
        has_progress: bool,
    ) -> bool {
        let unknown = PriorRun {
            closed_at,
            has_engine_ended: false,
        };
        let ended = async {
            tokio::select! {
                () = self.exchange.shared.crashes.ended.wait_for(&previous.backend) => {}
                () = wait_until_refused(previous), if has_progress => {}
            }
        };
        before_deadline(unknown.next_start(), ended).await.is_ok()
    }

    /// Returns the back end that the dispatcher assigns.
    async fn next_assignment(
        &mut self,
        sends: u32,
        has_progress: bool,
    ) -> Result<Assignment, &'static str> {
        loop {
            let assignment = match self.exchange.wait_for_decision().await {
                None => return Err(DEADLINE_PASSED),
                Some(Decision::Reject {
                    cause,
                    retry_after,
                    inputs,
                }) => {
                    self.exchange
                        .log_rejection(cause.code(), retry_after, &inputs);
                    return Err(cause.code());
                }
                Some(Decision::Send(assignment)) => assignment,
            };
            // The configuration and the crash registry may have changed meanwhile.
            if self.exchange.update_allowed_regions() {
                self.exchange
                    .abandon_assignment(&assignment, REGIONS_CHANGED);
                continue;
            }
            let mut checked = self.check(sends, has_progress);
            if self.exchange.revalidate_key().is_err() {
                checked = Err(KEY_REVOKED);
            }
            // One response is made by one version of the adapter.
            if assignment.version != self.current.version {
                checked = Err(OTHER_VERSION);
            }
            if let Err(cause) = checked {
                self.exchange.abandon_assignment(&assignment, cause);
                return Err(cause);
            }
            return Ok(assignment);
        }
    }
}

/// Waits until an engine refuses connections.
async fn wait_until_refused(engine: &Assignment) {
    for _ in 0..MAX_REFUSAL_CHECKS {
        if is_refused(engine.addr, REFUSAL_CHECK_INTERVAL).await {
            return;
        }
        sleep(REFUSAL_CHECK_INTERVAL).await;
    }
    std::future::pending().await
}
