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

/// Why a request must not run.
struct Block {
    /// The part of its prompt that crashes engines; `None` for the request as a whole.
    part: Option<PartId>,
    crashes: usize,
    /// Time since the last crash.
    age: Duration,
}

impl RequestExchange {
    /// Rejects a request that is blocked because it, or a part of its prompt, crashes the engines
    /// that run it. One that has not run gets a 400 response without Retry-After, since a retry
    /// would be blocked too.
    pub(super) fn reject_if_blocked(&mut self) -> Option<ClientResponse> {
        let Block { part, crashes, age } = self.block()?;
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
        Some(match self.runs {
            0 => self.local_response().text(StatusCode::BAD_REQUEST, &reason),
            _ => self.final_response(&reason, DEFAULT_RETRY_AFTER),
        })
    }

    /// Returns the verdict on the request, also for a part of its prompt.
    pub(super) fn crash_verdict(&self) -> RequestVerdict {
        let crashes = &self.shared.crashes;
        match self.blocked_part() {
            Some(BlockedPart { crashes, age, .. }) => RequestVerdict::Blocked { crashes, age },
            None => crashes.verdict(&self.accepted.digest),
        }
    }

    /// Returns why the request must not run; `None` if it may.
    fn block(&self) -> Option<Block> {
        if let Some(BlockedPart { part, crashes, age }) = self.blocked_part() {
            let part = Some(part);
            return Some(Block { part, crashes, age });
        }
        match self.shared.crashes.verdict(&self.accepted.digest) {
            RequestVerdict::Blocked { crashes, age } => Some(Block {
                part: None,
                crashes,
                age,
            }),
            RequestVerdict::Suspected { .. } | RequestVerdict::Clear => None,
        }
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
