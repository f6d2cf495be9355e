use {
    super::{
        attempt::Attempt, repeatable_attempt::run_repeatable, reserved_attempt::run_reserved, Job,
        ResponsePart,
    },
    crate::{app::Shared, control::EntryEvent},
    chalkcart_coordination::{
        retry::{may_retry, Attempt as FailedAttempt, Backoff},
        routing::{Route, RouteRequest},
    },
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_state::ids::{BoxName, RequestId, ReservedId},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Retries after a target refused because of overload.
const MAX_OVERLOAD_RETRIES: u32 = 1;
/// Retry delay for the caller when no target serves the request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends a request to a target, and retries it on other targets where that is safe.
pub struct RequestForwarder {
    shared: Arc<Shared>,
    job: Job,
    /// Id of the request; each attempt appends its number.
    original_id: RequestId,
    caller: mpsc::Sender<ResponsePart>,
    /// Tokens delivered to the caller by all attempts.
    delivered_tokens: Vec<String>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Targets that failed and are excluded from routing.
    failed_targets: Vec<BoxName>,
    overload_refusals: u32,
}

impl RequestForwarder {
    pub fn new(shared: Arc<Shared>, job: Job, caller: mpsc::Sender<ResponsePart>) -> Self {
        Self {
            shared,
            original_id: job.request_id.clone(),
            job,
            caller,
            delivered_tokens: Vec::new(),
            may_have_run: false,
            failed_targets: Vec::new(),
            overload_refusals: 0,
        }
    }

    /// Delivers the complete response or returns the final refusal.
    pub async fn run(mut self) -> Result<(), Refusal> {
        self.shared.control.send(EntryEvent::RequestArrived);
        match self.job.reserved_id.clone() {
            Some(id) => self.run_reserved(&id).await,
            None => self.run_repeatable().await,
        }
    }

    async fn run_reserved(&mut self, id: &ReservedId) -> Result<(), Refusal> {
        let Some(listed) = self.shared.control.find_target(id.target.clone()).await else {
            // Another entry may know the target and have sent the request there.
            return Err(Refusal::may_have_run(
                Step::Routing,
                &self.shared.settings.name,
                Reason::NoTarget,
            ));
        };
        let attempt = Attempt::new(
            &self.shared,
            &self.job,
            listed.name,
            listed.addr,
            &self.caller,
            &mut self.delivered_tokens,
        );
        run_reserved(attempt).await
    }

    async fn run_repeatable(&mut self) -> Result<(), Refusal> {
        let backoff = Backoff::default();
        let mut tries = 0;
        loop {
            tries += 1;
            let Err(refusal) = self.try_next_target().await else {
                return Ok(());
            };
            self.may_have_run |= refusal.outcome != Outcome::NotRun;
            if !self.should_retry(&refusal).await {
                return Err(self.final_refusal(refusal));
            }
            log::debug!(
                "traffic: {} is retried after: {refusal}",
                self.job.request_id
            );
            if refusal.reason != Reason::Overloaded {
                let delay = backoff.delay(tries, rand::random());
                sleep(delay.min(self.job.remaining())).await;
            }
        }
    }

    /// Replaces the outcome by `MAY_HAVE_RUN` if any attempt may have run.
    fn final_refusal(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::MayHaveRun;
        }
        refusal
    }

    async fn should_retry(&mut self, refusal: &Refusal) -> bool {
        // Further retries would add to the overload and delay the caller's response.
        self.overload_refusals += u32::from(refusal.reason == Reason::Overloaded);
        if self.overload_refusals > MAX_OVERLOAD_RETRIES {
            return false;
        }
        let attempt = FailedAttempt {
            refusal,
            reserved: self.job.reserved_id.is_some(),
            remaining: self.job.remaining(),
        };
        may_retry(&attempt) && self.shared.control.try_take_retry().await
    }

    async fn try_next_target(&mut self) -> Result<(), Refusal> {
        // Each attempt has its own id, so that a target never takes a new attempt for a
        // duplicate of an earlier one.
        self.job.request_id = format!("{}-{}", self.original_id, self.failed_targets.len());
        let request = RouteRequest {
            requirement: self.job.requirement.clone(),
            tokens: self.job.work.tokens(),
            excluded: self.failed_targets.clone(),
        };
        let Some(route) = self.shared.control.route(request).await else {
            let name = &self.shared.settings.name;
            let refusal = Refusal::not_run(Step::Routing, name, Reason::NoTarget);
            return Err(refusal.with_retry_after(NO_TARGET_RETRY_AFTER));
        };
        let target = route.target.clone();
        let result = self.try_target(route).await;
        self.shared
            .control
            .send(EntryEvent::RequestEnded(target.clone()));
        self.failed_targets.push(target);
        result
    }

    async fn try_target(&mut self, route: Route) -> Result<(), Refusal> {
        let attempt = Attempt::new(
            &self.shared,
            &self.job,
            route.target,
            route.addr,
            &self.caller,
            &mut self.delivered_tokens,
        );
        run_repeatable(attempt).await
    }
}
