use {
    super::shared::Shared,
    chalkcart_coordination::membership::{AggregatedState, AggregatorSelector},
    chalkcart_protocol::peer::{path, CrashCursor, CrashRequest, CrashResponse},
    chalkcart_transport::{
        client::{ClientError, PeerClient},
        clock,
        supervision::supervised,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// Number of aggregators that each entry uses at a time, so that one may be unresponsive. Entries
/// with different engine lists usually still share one of them, and forward the reports of each to
/// the other.
const AGGREGATORS: usize = 2;
/// Maximum time that an aggregator holds a call without new reports. Together with
/// [`RESPONSE_TIMEOUT`] it bounds the time to leave an unresponsive aggregator, which must be well
/// below the 3 s within which each entry must learn of a crash.
const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// Time for the response of an aggregator in addition to the time that it holds the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next aggregator is tried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two checks while no engine is listed.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges crash reports with the aggregator of one rank.
struct CrashLink {
    shared: Arc<Shared>,
    selector: Arc<Mutex<AggregatorSelector>>,
    rank: usize,
    peers: PeerClient,
    changed: watch::Receiver<u64>,
    current: Option<CurrentAggregator>,
}

/// The aggregator in use.
#[derive(Debug, Clone, Copy)]
struct CurrentAggregator {
    engine: SocketAddr,
    /// Revision of the local registry up to which the aggregator has all reports.
    sent_revision: u64,
    /// Position in the aggregator's reports; `None` before its first response.
    cursor: Option<CrashCursor>,
}

/// Starts the tasks that exchange crash reports with the other entries until the process ends.
pub fn exchange_crashes(shared: &Arc<Shared>) {
    let selector = AggregatorSelector::new(AggregatedState::Crashes);
    let selector = Arc::new(Mutex::new(selector));
    for rank in 0..AGGREGATORS {
        let (shared, selector) = (shared.clone(), selector.clone());
        let run = move || {
            let link = CrashLink {
                shared: shared.clone(),
                selector: selector.clone(),
                rank,
                peers: PeerClient::new(),
                changed: shared.crashes.subscribe(),
                current: None,
            };
            link.run()
        };
        tokio::spawn(supervised("crash reports", run));
    }
}

impl CrashLink {
    async fn run(mut self) {
        loop {
            let Some(current) = self.select_aggregator() else {
                sleep(IDLE_INTERVAL).await;
                continue;
            };
            if let Err(e) = self.exchange(current).await {
                self.on_failure(current, &e);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns the aggregator to use now.
    fn select_aggregator(&mut self) -> Option<CurrentAggregator> {
        let engines = self.shared.control.engines();
        let engine = self
            .selector()
            .select_ranked(self.rank, &engines, clock::now())?;
        let kept = self.current.filter(|current| current.engine == engine);
        let current = kept.unwrap_or_else(|| {
            log::info!(keeper = engine.to_string().as_str(), rank = self.rank;
                "crashes: aggregator selected");
            CurrentAggregator {
                engine,
                sent_revision: 0,
                cursor: None,
            }
        });
        self.current = Some(current);
        self.current
    }

    /// Sends the reports that the aggregator lacks, or waits for reports of other entries.
    async fn exchange(&mut self, current: CurrentAggregator) -> Result<(), ClientError> {
        self.changed.mark_unchanged();
        let (reports, sent_revision) = self.shared.crashes.reports_since(current.sent_revision);
        let is_held = reports.is_empty() && current.cursor.is_some();
        let wait = if is_held { MAX_HOLD } else { Duration::ZERO };
        let request = CrashRequest {
            entry: self.shared.settings.name.clone(),
            heard: current.cursor,
            words: reports,
            wait_ms: wait.as_millis() as u64,
        };
        let aggregator = SocketAddr::new(current.engine.ip(), self.shared.settings.sidecar_port);
        let timeout = wait + RESPONSE_TIMEOUT;
        let call =
            self.peers
                .call::<_, CrashResponse>(aggregator, path::CRASHES, &request, timeout);
        let response = tokio::select! {
            response = call => response?,
            // New local reports are sent at once.
            changed = self.changed.changed(), if is_held => {
                // The sender is dropped only when the process ends.
                let _ = changed;
                return Ok(());
            }
        };
        self.selector().on_response(current.engine);
        self.apply_response(current, sent_revision, response);
        Ok(())
    }

    fn apply_response(
        &mut self,
        before: CurrentAggregator,
        sent_revision: u64,
        response: CrashResponse,
    ) {
        let cursor = before.cursor;
        let has_restarted = cursor.is_some_and(|cursor| cursor.keeper != response.mark.keeper);
        let sent_revision = self.shared.crashes.merge(&response.words, sent_revision);
        self.current = Some(CurrentAggregator {
            // A restarted aggregator has lost all reports.
            sent_revision: if has_restarted { 0 } else { sent_revision },
            cursor: Some(response.mark),
            ..before
        });
    }

    /// Leaves the aggregator after a failed call. One that failed during a held call is not tried
    /// again at once, since the call has taken too much time already.
    fn on_failure(&mut self, current: CurrentAggregator, e: &ClientError) {
        log::warn!(keeper = current.engine.to_string().as_str(),
            cause = e.to_string().as_str(); "crashes: exchange failed");
        let now = clock::now();
        match current.cursor {
            _ if e.is_unsupported_by_peer() => self.selector().on_unsupported(current.engine, now),
            Some(_) => self.selector().on_timeout(current.engine, now),
            None => self.selector().on_failure(current.engine, now),
        }
        self.current = None;
    }

    fn selector(&self) -> MutexGuard<'_, AggregatorSelector> {
        // No holder panics in the middle of an update.
        self.selector.lock().unwrap_or_else(|e| e.into_inner())
    }
}
