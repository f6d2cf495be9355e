//! Streams that clients take up after they broke off, at any entry.

use {
    super::{
        request_exchange::{elapsed_ms, RequestExchange},
        stream_origin_exchange::{OriginAnswer, OriginSource},
    },
    chalkcart_coordination::{
        dispatch::DecisionInputs,
        software_versions::{OriginSearch, TakeUp, VersionMix},
    },
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_transport::{clock::before_deadline, ingress::ClientResponse},
    std::time::Duration,
};

/// Log value for a stream whose origin is not known while several versions may have begun it.
const UNKNOWN_SOFTWARE: &str = "unknown_software";
/// Time for which a take-up shortly after the start waits for the store's history.
const MAX_HISTORY_WAIT: Duration = Duration::from_millis(500);
/// Time in which a list that was read since the take-up arrived must show that no other version has
/// joined; a watch of the list takes up to a second.
const MAX_LIST_WAIT: Duration = Duration::from_secs(2);
/// A sidecar that could not answer may do so by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestExchange {
    /// Binds a stream that its client takes up to the software version that began it. Returns a
    /// response if it may go on nowhere.
    pub(super) async fn bind_to_software_version(&mut self) -> Option<ClientResponse> {
        if !self.shared.has_backend_list() {
            // without a list there is nobody to ask
            let versions = &self.shared.software_versions;
            versions.wait_for_history(MAX_HISTORY_WAIT).await;
        }
        let mut answer = self.find_origin().await;
        if let OriginSearch::Found(origin) = &mut answer.search {
            self.complete_origin(origin);
        }
        self.shared.software_versions.on_reports(&answer.versions);
        let mut take_up = self.take_up(&answer.search);
        if take_up == TakeUp::Unknown {
            let versions = &self.shared.software_versions;
            versions.wait_for_history(MAX_HISTORY_WAIT).await;
            if matches!(versions.mix(&self.request.service), VersionMix::One(_)) {
                let arrived = self.accepted.arrived;
                versions.wait_until_current(arrived, MAX_LIST_WAIT).await;
            }
            take_up = self.take_up(&answer.search);
        }
        self.log_take_up(&take_up, &answer);
        if let OriginSearch::Found(origin) = answer.search {
            let keep = self.shared.software_versions.memory();
            self.shared.stream_origins.on_found(origin, keep);
        }
        match take_up {
            TakeUp::Anywhere => None,
            TakeUp::At(version) => {
                self.request.software_version = Some(version);
                None
            }
            TakeUp::Unknown => {
                let inputs = DecisionInputs::default();
                self.log_rejection(UNKNOWN_SOFTWARE, UNKNOWN_RETRY_AFTER, &inputs);
                Some(self.final_response(UNKNOWN_SOFTWARE, UNKNOWN_RETRY_AFTER))
            }
        }
    }

    /// Adds the version of an engine that was not listed when it began the stream.
    fn complete_origin(&self, origin: &mut StreamOrigin) {
        let versions = &self.shared.software_versions;
        let listed = || versions.version_of(&origin.backend);
        origin.version = origin.version.clone().or_else(listed);
    }

    /// Returns where the stream may go on, and selects the service that began it.
    fn take_up(&mut self, search: &OriginSearch) -> TakeUp {
        if let OriginSearch::Found(origin) = search {
            let mut services = self.accepted.route.services.iter();
            if !services.any(|s| s.service == origin.service) {
                return TakeUp::Unknown;
            }
            self.request.service = origin.service.clone();
        } else if self.accepted.route.services.len() > 1 {
            // another service may have begun it
            return TakeUp::Unknown;
        }
        let (service, arrived) = (&self.request.service, self.accepted.arrived);
        let mix = self.shared.software_versions.mix_for(service, arrived);
        TakeUp::decide(search, &mix)
    }

    async fn find_origin(&self) -> OriginAnswer {
        let unanswered = || OriginAnswer::unasked(OriginSearch::Unanswered, None);
        let Some(first_attempt) = self.accepted.head.first_attempt.as_deref() else {
            return unanswered();
        };
        let own = self.shared.software_versions.reports(&self.accepted.route);
        let search = self.shared.stream_origins.find(first_attempt, own);
        let found = before_deadline(self.deadline, search).await;
        found.unwrap_or_else(|_| unanswered())
    }

    /// Logs what the decision was based on: the origin and who knew it, and the versions of the
    /// service with the time that this entry knows of.
    fn log_take_up(&self, take_up: &TakeUp, answer: &OriginAnswer) {
        let versions = &self.shared.software_versions;
        let known = versions.known(&self.request.service);
        let shortest = answer.kept_for.iter().min();
        let head = &self.accepted.head;
        let software = match take_up {
            TakeUp::At(version) => version.as_str(),
            TakeUp::Anywhere | TakeUp::Unknown => "",
        };
        self.shared.metrics.on_take_up(take_up.code());
        log::info!(
            request = head.id.as_str(),
            route = self.accepted.route.name.as_str(),
            first_attempt = head.first_attempt.as_deref().unwrap_or_default(),
            last_event = head.last_event.map_or(-1, |event| event as i64),
            goes_on = take_up.code(),
            software = software,
            known_by = answer.source.map_or("", OriginSource::code),
            search = answer.search.code(),
            asked = answer.asked,
            answered = answer.answered,
            kept_for_ms = shortest.map_or(-1, |t| t.as_millis() as i64),
            versions = known.names().as_str(),
            versions_known_ms = known.covered_ms(),
            waited_ms = elapsed_ms(self.accepted.arrived);
            "ingress: stream taken up by its client"
        );
    }
}
