use {
    super::{
        attempt::Attempt, repeatable_attempt::run_repeatable, reserved_attempt::run_reserved,
        Delivered, Job,
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

/// refusals because of overload that are followed by another try
const MAX_OVERLOADS: u32 = 1;
/// when to come back if no target serves what is asked
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// brings a request to a target, and to another one if that is safe
pub struct Dispatcher {
    shared: Arc<Shared>,
    job: Job,
    /// id of the request over all tries
    request: RequestId,
    caller: mpsc::Sender<Delivered>,
    /// tokens that the caller has
    had: Vec<String>,
    /// an attempt may have run
    may_have_run: bool,
    /// targets that failed
    failed: Vec<BoxName>,
    /// refusals because of overload
    overloads: u32,
}

impl Dispatcher {
    pub fn new(shared: Arc<Shared>, job: Job, caller: mpsc::Sender<Delivered>) -> Self {
        Self {
            shared,
            request: job.request.clone(),
            job,
            caller,
            had: Vec::new(),
            may_have_run: false,
            failed: Vec::new(),
            overloads: 0,
        }
    }

    /// deliver the whole answer, or give the final word on the request
    pub async fn run(mut self) -> Result<(), Refusal> {
        self.shared.control.send(EntryEvent::RequestArrived);
        match self.job.reserved.clone() {
            Some(id) => self.run_reserved(&id).await,
            None => self.run_repeatable().await,
        }
    }

    async fn run_reserved(&mut self, id: &ReservedId) -> Result<(), Refusal> {
        let Some(listed) = self.shared.control.find_target(id.target.clone()).await else {
            // another entry may know the target, and have sent it there
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
            &mut self.had,
        );
        run_reserved(attempt).await
    }

    async fn run_repeatable(&mut self) -> Result<(), Refusal> {
        let backoff = Backoff::default();
        let mut tries = 0;
        loop {
            tries += 1;
            let Err(refusal) = self.try_once().await else {
                return Ok(());
            };
            self.may_have_run |= refusal.outcome != Outcome::NotRun;
            if !self.should_retry(&refusal).await {
                return Err(self.final_word(refusal));
            }
            log::debug!("traffic: {} again after: {refusal}", self.job.request);
            if refusal.reason != Reason::Overloaded {
                let pause = backoff.delay(tries, rand::random());
                sleep(pause.min(self.job.remaining())).await;
            }
        }
    }

    /// `NOT_RUN` must be true of all attempts together
    fn final_word(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::MayHaveRun;
        }
        refusal
    }

    async fn should_retry(&mut self, refusal: &Refusal) -> bool {
        // one other target is asked at once; more would feed the overload
        // and keep the caller from its answer
        self.overloads += u32::from(refusal.reason == Reason::Overloaded);
        if self.overloads > MAX_OVERLOADS {
            return false;
        }
        let attempt = FailedAttempt {
            refusal,
            reserved: self.job.reserved.is_some(),
            remaining: self.job.remaining(),
        };
        may_retry(&attempt) && self.shared.control.try_take_retry().await
    }

    async fn try_once(&mut self) -> Result<(), Refusal> {
        // each try has its own id, so that a target never takes a new try
        // for a copy of an earlier one
        self.job.request = format!("{}-{}", self.request, self.failed.len());
        let ask = RouteRequest {
            requirement: self.job.need.clone(),
            tokens: self.job.work.tokens(),
            excluded: self.failed.clone(),
        };
        let Some(route) = self.shared.control.route(ask).await else {
            let name = &self.shared.settings.name;
            let refusal = Refusal::not_run(Step::Routing, name, Reason::NoTarget);
            return Err(refusal.with_retry_after(NO_TARGET_RETRY));
        };
        let target = route.target.clone();
        let result = self.try_target(route).await;
        self.shared
            .control
            .send(EntryEvent::RequestEnded(target.clone()));
        self.failed.push(target);
        result
    }

    async fn try_target(&mut self, route: Route) -> Result<(), Refusal> {
        let attempt = Attempt::new(
            &self.shared,
            &self.job,
            route.target,
            route.addr,
            &self.caller,
            &mut self.had,
        );
        run_repeatable(attempt).await
    }
}
