use {
    super::{
        observations::{
            applied_configurations, backend_record, crash_registry_losses, part_record,
        },
        soak_run::SoakRun,
        violations, Outcome, RequestRecord, ScheduledFault, SoakRecord, StreamCounts, Violation,
    },
    crate::serving::lock,
    std::{collections::BTreeMap, time::Duration},
};

/// What a soak showed.
#[derive(Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub faults: Vec<ScheduledFault>,
    pub requests: usize,
    pub served: usize,
    /// Number of requests by status; 0 for lost connections.
    pub outcomes: BTreeMap<u16, usize>,
    pub streams: StreamCounts,
    /// Crashes under the part that crashes engines and requests that arrived with it, in s from the
    /// first arrival on.
    pub part_crashes_s: Vec<f64>,
    pub part_arrivals_s: Vec<f64>,
    pub violations: Vec<Violation>,
    /// Folder of the processes' logs.
    pub log_folder: String,
}

impl SoakRun {
    /// Checks what was observed.
    pub(super) fn report(
        self,
        seed: u64,
        faults: Vec<ScheduledFault>,
        requests: Vec<RequestRecord>,
        not_recovered: Vec<String>,
        closed_unread: Vec<String>,
    ) -> SoakReport {
        let status = |request: &RequestRecord| match &request.outcome {
            Outcome::Responded { status, .. } => *status,
            Outcome::ConnectionLost => 0,
        };
        let mut outcomes = BTreeMap::new();
        for request in &requests {
            *outcomes.entry(status(request)).or_default() += 1;
        }
        let streams = StreamCounts::of(&requests, &self.lives.into_history());
        let engines = self.fleet.engines.iter().map(|b| backend_record(b, true));
        let plain = self.fleet.plain.iter().map(|b| backend_record(b, false));
        let part = part_record(&self.fleet.engines);
        let (part_crashes_s, part_arrivals_s) = part.seconds();
        let record = SoakRecord {
            backends: engines.chain(plain).collect(),
            requests,
            configurations: applied_configurations(
                [self.fleet.log()].into_iter().chain(self.others.logs()),
            ),
            crashes: self.fleet.engines.iter().map(|e| e.state().crashes).sum(),
            crashes_until_blocked: self.crashes_until_blocked,
            part,
            crash_registry_losses: crash_registry_losses(&faults),
            rejected_for_part: lock(&self.rejected).clone(),
            closed_unread,
            exited_processes: self.exited,
            not_recovered,
            max_stream_runs: self.max_stream_runs as usize,
            stream_events: self.stream_events as usize,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
        };
        SoakReport {
            seed,
            faults,
            requests: record.requests.len(),
            served: outcomes.get(&200).copied().unwrap_or(0),
            outcomes,
            streams,
            part_crashes_s,
            part_arrivals_s,
            violations: violations(&record),
            log_folder: self
                .fleet
                .settings_file
                .with_file_name("")
                .display()
                .to_string(),
        }
    }
}
