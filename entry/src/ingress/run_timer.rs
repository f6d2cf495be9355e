//! How long requests run, and which ones a process that stops can still complete.

use {
    super::request_exchange::RequestExchange,
    chalkcart_coordination::{
        dispatch::{Decision, DecisionInputs, RejectionCause, Ticket},
        drain::RunTimes,
    },
    chalkcart_state::ingress::Route,
    chalkcart_transport::clock,
    std::{
        future::pending,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often a waiting request is compared with the time that is left.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Another entry can serve a request that this one declines as it stops.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The times of all runs of this process.
#[derive(Debug, Clone, Default)]
pub struct SharedRunTimes(Arc<Mutex<RunTimes>>);

impl SharedRunTimes {
    fn times(&self) -> MutexGuard<'_, RunTimes> {
        // No holder panics in the middle of an update.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures one run.
#[derive(Debug)]
pub struct RunTimer {
    times: SharedRunTimes,
    route: Arc<Route>,
    run: Ticket,
}

impl RunTimer {
    pub fn start(times: &SharedRunTimes, route: &Arc<Route>, run: Ticket) -> Self {
        times.times().on_sent(&route.name, run, clock::now());
        Self {
            times: times.clone(),
            route: route.clone(),
            run,
        }
    }

    /// Ends the run; `is_whole` tells whether it was answered to its end.
    pub fn end(self, is_whole: bool) {
        let mut times = self.times.times();
        times.on_ended(&self.route.name, self.run, is_whole, clock::now());
    }
}

impl RequestExchange {
    /// Returns whether this process stops before the request can end, so that it must not be sent.
    pub(super) fn is_too_late(&self) -> bool {
        let Some(last) = *self.shared.last_start.borrow() else {
            return false;
        };
        let now = clock::now();
        let times = self.shared.run_times.times();
        let expected = times.expected(&self.accepted.route.name, now);
        // a stream that goes on has less to do than a whole one
        !self.request.has_progress && !last.may_start(expected, self.deadline, now)
    }

    /// Waits until it is too late to send the request; without end while this process goes on.
    pub(super) async fn wait_until_too_late(&self) {
        let mut last_start = self.shared.last_start.subscribe();
        if last_start.wait_for(Option::is_some).await.is_err() {
            pending().await
        }
        while !self.is_too_late() {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns the decision on a request that can't end before this process does.
pub(super) fn declined_as_stopping() -> Decision {
    Decision::Reject {
        cause: RejectionCause::Stopping,
        retry_after: RETRY_AFTER,
        inputs: DecisionInputs::default(),
    }
}
