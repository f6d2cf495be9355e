use {
    super::{EntryEvent, TargetSummary},
    crate::conf::Settings,
    chalkcart_coordination::{
        permits::{LoadPermitIssuer, LoadPermitSettings},
        retry::RetryBudget,
        routing::{Target, TargetTable},
    },
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse},
    std::time::{Duration, Instant},
};

/// The state of an entry that only the control thread accesses.
pub struct EntryControl {
    targets: TargetTable,
    budget: RetryBudget,
    permits: LoadPermitIssuer,
}

impl EntryControl {
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let policy = settings.routing.into();
        Self {
            targets: TargetTable::new(settings.zone.clone(), policy, rand::random()),
            budget: RetryBudget::default(),
            permits: LoadPermitIssuer::new(LoadPermitSettings::default(), now),
        }
    }

    /// Handles an event. A reply is dropped if its receiver is gone.
    pub fn handle(&mut self, event: EntryEvent, now: Instant) {
        match event {
            EntryEvent::RequestArrived => self.budget.on_request(),
            EntryEvent::Route { request, reply } => {
                let _ = reply.send(self.targets.route(&request, now));
            }
            EntryEvent::FindTarget { target, reply } => {
                let found = self.targets.get(&target).map(|t| t.listed.clone());
                let _ = reply.send(found);
            }
            EntryEvent::TryTakeRetry { reply } => {
                let _ = reply.send(self.budget.try_take());
            }
            EntryEvent::ReportReceived(report) => self.targets.on_report(report, now),
            EntryEvent::TargetUnresponsive(target) => self.targets.on_unresponsive(&target, now),
            EntryEvent::RequestEnded(target) => self.targets.on_request_ended(&target),
            EntryEvent::ListUpdated(list) => self.targets.on_list(&list),
            EntryEvent::StoreLimitsUpdated {
                loads_per_second,
                loads_at_once,
            } => self.permits.set_limits(loads_per_second, loads_at_once),
            EntryEvent::Permit { request, reply } => {
                let _ = reply.send(self.permit(&request, now));
            }
            EntryEvent::Plan { request, reply } => {
                let _ = reply.send(self.targets.plan(&request, now));
            }
            EntryEvent::TargetSummaries { reply } => {
                let summaries = self.targets.targets().map(|t| target_summary(t, now));
                let _ = reply.send(summaries.collect());
            }
        }
    }

    fn permit(&mut self, request: &PermitRequest, now: Instant) -> PermitResponse {
        match request.purpose {
            PermitPurpose::Ask => self.permits.request(request, now),
            PermitPurpose::Return => {
                self.permits.release(request);
                PermitResponse::Wait {
                    retry_after: Duration::ZERO,
                }
            }
        }
    }
}

fn target_summary(target: &Target, now: Instant) -> TargetSummary {
    TargetSummary {
        listed: target.listed.clone(),
        is_leaving: target.is_leaving(),
        is_suspect: target.is_suspect(now),
        report: target.report().cloned(),
        report_age: target
            .reported_at()
            .map(|at| now.saturating_duration_since(at)),
    }
}
