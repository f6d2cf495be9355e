use {
    super::shared::Shared,
    chalkcart_coordination::{
        backend_performance::PublishedPerformance,
        backend_signals::{BackendSignals, RequestRate},
        placement::{EngineOrder, OrderAnswer, PlacementAction, PlacementEvent},
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_transport::{
        clock,
        orders::{EngineControl, Reported},
    },
    log::Level,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Minimum interval between views that differ only in stats.
const MIN_STATS_INTERVAL: Duration = Duration::from_millis(100);
/// The interval grows by this much per reader, so that the number of messages in a fleet
/// grows more slowly than readers times engines.
const STATS_INTERVAL_PER_READER: Duration = Duration::from_millis(10);
const MAX_STATS_INTERVAL: Duration = Duration::from_millis(300);

/// The task that polls the engine and sends orders to it.
pub struct PlacementTask {
    shared: Arc<Shared>,
    engine: Arc<dyn EngineControl>,
    published_at: Option<Instant>,
    is_reachable: bool,
    polled_at: Option<Instant>,
    /// The engine's last signals, without back-off and slow start.
    last_signals: BackendSignals,
}

impl PlacementTask {
    pub fn new(shared: Arc<Shared>, engine: Arc<dyn EngineControl>) -> Self {
        Self {
            shared,
            engine,
            published_at: None,
            is_reachable: true,
            polled_at: None,
            last_signals: BackendSignals::default(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let now = clock::now();
            let action = self.shared.control().next_action(now);
            match action {
                PlacementAction::Identify { health_path } => self.identify(&health_path).await,
                PlacementAction::Order(order) => {
                    self.send_order(order).await;
                    self.poll().await;
                }
                PlacementAction::Read { after } => self.wait_or_poll(after, now).await,
                PlacementAction::BackOff { remaining } => self.back_off(remaining).await,
            }
        }
    }

    /// Waits until `after` has passed since the last poll, and polls the engine. Returns early
    /// on an event, which doesn't delay the next poll.
    async fn wait_or_poll(&mut self, after: Duration, now: Instant) {
        let wait = match self.polled_at {
            Some(at) => after.saturating_sub(now.saturating_duration_since(at)),
            None => Duration::ZERO,
        };
        if wait.is_zero() || timeout(wait, self.shared.changed.notified()).await.is_err() {
            self.poll().await;
        }
    }

    /// Sends nothing to the engine, but keeps its view up to date.
    async fn back_off(&mut self, remaining: Duration) {
        sleep(remaining.min(MAX_STATS_INTERVAL)).await;
        self.publish();
    }

    /// Handles the signals in an engine's response and returns the response's value.
    fn handle_signals<T>(&mut self, response: Reported<T>) -> T {
        let Reported { value, signals } = response;
        let Some(signals) = signals else {
            return value;
        };
        let lasting = BackendSignals {
            backoff: None,
            slow_start_left: None,
            ..signals
        };
        // Lasting signals are repeated in each response.
        let is_new =
            signals.backoff.is_some() || signals.is_in_slow_start() || lasting != self.last_signals;
        if is_new {
            log::info!(
                leaving = signals.is_leaving,
                rest_ms = signals.backoff.map_or(0, |backoff| backoff.as_millis() as u64),
                limit_per_s = signals.limit.rate().map_or(-1.0, RequestRate::per_s),
                cold_ms = signals.slow_start_left.map_or(-1, |left| left.as_millis() as i64);
                "engine: signals received"
            );
            self.last_signals = lasting;
        }
        if is_new || !signals.is_empty() {
            self.shared.handle(PlacementEvent::Signals(signals));
        }
        value
    }

    async fn identify(&mut self, health_path: &str) {
        // It may be another engine, whose signals must be logged even if they are the same.
        self.last_signals = BackendSignals::default();
        let response = self.engine.identity(health_path).await;
        let Reported { value, signals } = response;
        log::info!("engine: identified as {value:?}");
        // Before its signals are handled, since a new incarnation discards earlier signals.
        self.shared.handle(PlacementEvent::Identified(value));
        self.handle_signals(Reported { value: (), signals });
        self.publish();
    }

    async fn poll(&mut self) {
        let response = self.engine.report().await;
        let event = match self.handle_signals(response) {
            Ok(report) => {
                if !self.is_reachable {
                    log::info!("engine: reachable again");
                }
                self.is_reachable = true;
                PlacementEvent::Report(report)
            }
            Err(e) => {
                if self.is_reachable {
                    log::warn!("engine: status could not be read: {e}");
                }
                self.is_reachable = false;
                PlacementEvent::ReportFailed {
                    is_down: e.proves_no_listener(),
                }
            }
        };
        self.polled_at = Some(clock::now());
        self.shared.handle(event);
        self.log_performance_change();
        self.publish();
    }

    /// Logs a large change of the measured performance. An estimate follows a change only after
    /// a second, which bounds the number of lines.
    fn log_performance_change(&self) {
        let now = clock::now();
        let Some(change) = self.shared.control().take_performance_change(now) else {
            return;
        };
        let rate = |p: &PublishedPerformance| p.prefill_tokens_per_s.unwrap_or(0);
        let interval = |p: &PublishedPerformance| p.event_interval_us.unwrap_or(0);
        log::info!(
            event_us = interval(&change.after),
            event_us_before = interval(&change.before),
            prefill_per_s = rate(&change.after),
            prefill_per_s_before = rate(&change.before),
            samples = change.samples,
            oldest_ms = change.oldest_sample_age.as_millis() as u64,
            ratio_measured = change.is_ratio_measured;
            "engine: performance changed"
        );
    }

    async fn send_order(&mut self, order: EngineOrder) {
        let response = self.engine.order(&order).await;
        let answer = self.handle_signals(response);
        let level = match answer {
            OrderAnswer::Taken | OrderAnswer::Done => Level::Info,
            _ => Level::Warn,
        };
        log::log!(
            level,
            order = order.kind.to_string().as_str(),
            backend = order.backend.as_str(),
            born = order.backend.start_time_ms,
            fence = order.fence,
            answer = format!("{answer:?}").as_str();
            "engine: ordered"
        );
        self.shared
            .handle(PlacementEvent::OrderAnswered { order, answer });
    }

    /// Publishes the view at once if the change is urgent, else at the stats interval.
    fn publish(&mut self) {
        let now = clock::now();
        let mut view = self.shared.control().view(now);
        view.figures.readers = self.shared.view.receiver_count() as u32;
        let is_due = self
            .published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= stats_interval(&view));
        let is_urgent = view.is_urgent_after(&self.shared.view.borrow());
        if is_urgent || (is_due && *self.shared.view.borrow() != view) {
            self.published_at = Some(now);
            self.shared.view.send_replace(view);
        }
    }
}

fn stats_interval(view: &EngineView) -> Duration {
    let interval = STATS_INTERVAL_PER_READER * view.figures.readers;
    interval.clamp(MIN_STATS_INTERVAL, MAX_STATS_INTERVAL)
}
