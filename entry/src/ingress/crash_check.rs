//! Whether a request may run, by the crashes attributed to it and to the parts of its prompt.

use {
    super::request_exchange::{elapsed_ms, RequestExchange, DEFAULT_RETRY_AFTER},
    chalkcart_coordination::crashes::{BlockedPart, ExcusedPart, PartVerdict, RequestVerdict},
    chalkcart_state::ingress::PartId,
    chalkcart_transport::ingress::ClientResponse,
    http::StatusCode,
    std::time::Duration,
};

/// Response text for a request that is blocked because it crashes engines.
pub(super) const BLOCKED: &str = "engines ended under this request: it is not run any more";

/// Shortest time after which a rejected request may come back while another one is tried.
const MIN_TRY_WAIT: Duration = Duration::from_secs(1);

/// Why a request must not run.
struct Block {
    /// The part of its prompt that crashes engines; `None` for the request as a whole.
    part: Option<PartId>,
    crashes: usize,
    /// Time since the last crash.
    age: Duration,
    /// When a retry may be served; `None` if it would be blocked too, for all that is known.
    retry_after: Option<Duration>,
}

impl RequestExchange {
    /// Rejects a request that is blocked because it, or a part of its prompt, crashes the engines
    /// that run it. One that has not run gets a 400 response without Retry-After, since a retry
    /// would be blocked too; if equal requests have done well, a 503 response with the time until
    /// one is tried again.
    pub(super) fn reject_if_blocked(&mut self) -> Option<ClientResponse> {
        let Block {
            part,
            crashes,
            age,
            retry_after,
        } = self.block()?;
        let part = part.map(|part| part.to_string());
        log::warn!(
            request = self.accepted.head.id.as_str(),
            digest = self.accepted.digest.to_string().as_str(),
            shared_part = part.as_deref().unwrap_or_default(),
            route = self.accepted.route.name.as_str(),
            account = self.account_name(),
            ended = crashes,
            age_ms = age.as_millis() as u64,
            sends = self.request.send_count,
            waited_ms = elapsed_ms(self.accepted.arrived);
            "crashes: request blocked"
        );
        let metrics = &self.shared.crashes.metrics;
        metrics.refused.inc();
        metrics.refused_for_part.inc_by(u64::from(part.is_some()));
        let reason = part.map_or(BLOCKED.to_string(), |part| {
            format!("engines ended under part {part} of this prompt: it is not run any more")
        });
        Some(match (self.runs, retry_after) {
            (0, None) => self.local_response().text(StatusCode::BAD_REQUEST, &reason),
            (0, Some(after)) => self.local_response().service_unavailable(&reason, after),
            _ => self.final_response(&reason, DEFAULT_RETRY_AFTER),
        })
    }

    /// Returns the verdict on the request, also for a part of its prompt.
    pub(super) fn crash_verdict(&self) -> RequestVerdict {
        let crashes = &self.shared.crashes;
        match self.blocked_part() {
            Some(BlockedPart { crashes, age, .. }) => RequestVerdict::Blocked {
                crashes,
                age,
                retry_in: Duration::MAX,
                has_done_well: false,
            },
            None => crashes.verdict(&self.accepted.digest),
        }
    }

    /// Returns why the request must not run; `None` if it may.
    fn block(&mut self) -> Option<Block> {
        if let Some(BlockedPart { part, crashes, age }) = self.blocked_part() {
            return Some(Block {
                part: Some(part),
                crashes,
                age,
                retry_after: None,
            });
        }
        let verdict = self.shared.crashes.verdict(&self.accepted.digest);
        let RequestVerdict::Blocked {
            crashes,
            age,
            retry_in,
            has_done_well,
        } = verdict
        else {
            return None;
        };
        if retry_in.is_zero() && self.is_the_try() {
            return None;
        }
        Some(Block {
            part: None,
            crashes,
            age,
            retry_after: has_done_well.then(|| retry_in.max(MIN_TRY_WAIT)),
        })
    }

    /// Returns whether this is the one request that tries a blocked one again.
    fn is_the_try(&mut self) -> bool {
        if !self.is_try {
            self.is_try = self.shared.crashes.take_try(&self.accepted.digest);
            if self.is_try {
                log::info!(
                    request = self.accepted.head.id.as_str(),
                    digest = self.accepted.digest.to_string().as_str();
                    "crashes: blocked request tried again"
                );
            }
        }
        self.is_try
    }

    fn blocked_part(&self) -> Option<BlockedPart> {
        let parts = &self.accepted.head.shared_parts;
        match self.shared.crashes.part_verdict(parts) {
            PartVerdict::Blocked(blocked) => Some(blocked),
            PartVerdict::Excused(_) | PartVerdict::Clear => None,
        }
    }

    /// Counts and logs a send whose prompt has a suspected part.
    pub(super) fn log_excused_part(&self) {
        let crashes = &self.shared.crashes;
        let verdict = crashes.part_verdict(&self.accepted.head.shared_parts);
        let PartVerdict::Excused(ExcusedPart {
            part,
            crashes: ended,
        }) = verdict
        else {
            return;
        };
        crashes.metrics.excused_for_part.inc();
        log::info!(
            request = self.accepted.head.id.as_str(),
            shared_part = part.to_string().as_str(),
            ended = ended;
            "crashes: suspected part excused"
        );
    }

    /// Returns whether the request may crash the engine that runs it, according to the crash
    /// registry.
    pub(super) fn is_crash_suspect(&self) -> bool {
        self.crash_verdict() != RequestVerdict::Clear
    }
}
