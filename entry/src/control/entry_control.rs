use {
    super::{EntryEvent, TargetRow},
    crate::conf::Settings,
    chalkcart_coordination::{
        permits::{LoadPermitIssuer, LoadPermitSettings},
        retry::RetryBudget,
        routing::{Target, TargetTable},
    },
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse},
    std::time::{Duration, Instant},
};

/// the control state of an entry
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

    /// decide on one event; an asker that is gone is no concern
    pub fn handle(&mut self, event: EntryEvent, now: Instant) {
        match event {
            EntryEvent::Requested => self.budget.on_request(),
            EntryEvent::Route { ask, answer } => {
                let _ = answer.send(self.targets.route(&ask, now));
            }
            EntryEvent::Find { target, answer } => {
                let found = self.targets.get(&target).map(|t| t.listed.clone());
                let _ = answer.send(found);
            }
            EntryEvent::TakeRetry { answer } => {
                let _ = answer.send(self.budget.try_take());
            }
            EntryEvent::Reported(report) => self.targets.on_report(report, now),
            EntryEvent::Silent(target) => self.targets.on_unresponsive(&target, now),
            EntryEvent::Ended(target) => self.targets.on_request_ended(&target),
            EntryEvent::Listed(list) => self.targets.on_list(&list),
            EntryEvent::StoreLimits {
                loads_per_second,
                loads_at_once,
            } => self.permits.set_limits(loads_per_second, loads_at_once),
            EntryEvent::Permit { ask, answer } => {
                let _ = answer.send(self.permit(&ask, now));
            }
            EntryEvent::Plan { ask, answer } => {
                let _ = answer.send(self.targets.plan(&ask, now));
            }
            EntryEvent::Status { answer } => {
                let rows = self.targets.targets().map(|t| target_row(t, now));
                let _ = answer.send(rows.collect());
            }
        }
    }

    fn permit(&mut self, ask: &PermitRequest, now: Instant) -> PermitResponse {
        match ask.purpose {
            PermitPurpose::Ask => self.permits.request(ask, now),
            PermitPurpose::Return => {
                self.permits.release(ask);
                PermitResponse::Wait {
                    retry_after: Duration::ZERO,
                }
            }
        }
    }
}

fn target_row(target: &Target, now: Instant) -> TargetRow {
    TargetRow {
        listed: target.listed.clone(),
        leaving: target.is_leaving(),
        suspect: target.is_suspect(now),
        report: target.report().cloned(),
        heard_ago: target
            .reported_at()
            .map(|at| now.saturating_duration_since(at)),
    }
}
