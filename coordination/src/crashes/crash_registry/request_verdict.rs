use {
    super::{
        super::{
            crash_record::Crash,
            request_block::{self, TrySpread},
        },
        spread_of, CrashRegistry, BLOCKED_AFTER_CRASHES,
    },
    chalkcart_state::ingress::RequestDigest,
    std::time::{Duration, Instant},
};

/// Time for a run that tries a blocked request again. Others are rejected meanwhile.
const TRY_TIME: Duration = Duration::from_secs(10);

/// Assessment of a request by the crashes attributed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// No engine has crashed while running it since its last completed run.
    Clear,
    /// Engines have crashed while running it, but fewer than block it.
    Suspected { crashes: usize },
    /// It crashes the engines that run it and must be rejected, but for one run at a time once
    /// `retry_in` is over.
    Blocked {
        crashes: usize,
        /// Time since the last crash.
        age: Duration,
        /// Time until this entry may try it again.
        retry_in: Duration,
        /// Whether equal requests have completed, so that it is not sure to be the cause.
        has_done_well: bool,
    },
}

impl CrashRegistry {
    /// Assesses a request that arrives now. Crashes that a part explains don't count.
    pub fn verdict(&mut self, digest: &RequestDigest, now: Instant) -> RequestVerdict {
        let spread = self.try_spread(digest);
        let suspects = self.parts.suspects(now);
        let Some(record) = self.requests.used(digest, now) else {
            return RequestVerdict::Clear;
        };
        let is_explained = |crash: &&Crash| {
            let mut suspects = suspects.iter();
            suspects.any(|suspect| suspect.has_crash(crash.incarnation))
        };
        let crashes = record.crashes.iter();
        let crashes = crashes.filter(|crash| !is_explained(crash));
        let crashes: Vec<&Crash> = crashes.collect();
        let Some(last) = crashes.last().map(|crash| crash.stamp.at) else {
            return RequestVerdict::Clear;
        };
        let age = now.saturating_duration_since(last);
        let crashes = request_block::separate_crashes(record, &crashes);
        match crashes >= BLOCKED_AFTER_CRASHES {
            true => RequestVerdict::Blocked {
                crashes,
                age,
                retry_in: request_block::blocked_for(crashes, age, spread),
                has_done_well: record.has_done_well(),
            },
            false => RequestVerdict::Suspected { crashes },
        }
    }

    /// Returns whether a blocked request may be tried again now, and if so lets this one be the only
    /// one for a while: its completed run clears the request, and a further crash blocks it for
    /// longer.
    pub fn take_try(&mut self, digest: &RequestDigest, now: Instant) -> bool {
        let verdict = self.verdict(digest, now);
        let is_due =
            matches!(verdict, RequestVerdict::Blocked { retry_in, .. } if retry_in.is_zero());
        let Some(record) = self.requests.used(digest, now).filter(|_| is_due) else {
            return false;
        };
        let is_free = record.tried_until.is_none_or(|until| now >= until);
        if is_free {
            record.tried_until = Some(now + TRY_TIME);
        }
        is_free
    }

    fn try_spread(&self, digest: &RequestDigest) -> TrySpread {
        TrySpread {
            position: spread_of(self.origin, digest),
            entries: self.entries,
        }
    }
}
