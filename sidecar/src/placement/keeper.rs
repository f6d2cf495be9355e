use {
    super::shared::Shared,
    chalkcart_coordination::{
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

/// figures that are not worth a message of their own are sent this often
const FIGURES_EVERY: Duration = Duration::from_millis(100);
/// and with more readers than ten less often, so that the messages of a fleet
/// grow more slowly than readers times engines
const FIGURES_EVERY_READER: Duration = Duration::from_millis(10);
const FIGURES_AT_LEAST_EVERY: Duration = Duration::from_millis(300);

/// the one task that reads the engine and gives it orders
pub struct Keeper {
    shared: Arc<Shared>,
    engine: Arc<dyn EngineControl>,
    published: Option<Instant>,
    is_reachable: bool,
    read_at: Option<Instant>,
    /// what the engine said of itself last, but for rests
    said: BackendSignals,
}

impl Keeper {
    pub fn new(shared: Arc<Shared>, engine: Arc<dyn EngineControl>) -> Self {
        Self {
            shared,
            engine,
            published: None,
            is_reachable: true,
            read_at: None,
            said: BackendSignals::default(),
        }
    }

    /// keep the engine until the process ends
    pub async fn run(mut self) {
        loop {
            let now = clock::now();
            let step = self.shared.control().next_action(now);
            match step {
                PlacementAction::Identify { health_path } => self.identify(&health_path).await,
                PlacementAction::Order(order) => {
                    self.order(order).await;
                    self.read().await;
                }
                PlacementAction::Read { after } => self.wait_or_read(after, now).await,
                PlacementAction::BackOff { remaining } => self.rest(remaining).await,
            }
        }
    }

    /// read the engine once its time has come. What wakes this task before
    /// does not put the time off, however often it does
    async fn wait_or_read(&mut self, after: Duration, now: Instant) {
        let left = match self.read_at {
            Some(at) => after.saturating_sub(now.saturating_duration_since(at)),
            None => Duration::ZERO,
        };
        if left.is_zero() || timeout(left, self.shared.changed.notified()).await.is_err() {
            self.read().await;
        }
    }

    /// leave the engine alone; entries go on hearing what is known of it
    async fn rest(&mut self, left: Duration) {
        sleep(left.min(FIGURES_AT_LEAST_EVERY)).await;
        self.publish();
    }

    /// take in what the engine says of itself, and give the rest of the answer
    fn take_word<T>(&mut self, told: Reported<T>) -> T {
        let Reported {
            value,
            signals: word,
        } = told;
        let Some(word) = word else {
            return value;
        };
        let lasting = BackendSignals {
            backoff: None,
            slow_start_left: None,
            ..word
        };
        let is_news = word.backoff.is_some() || word.is_in_slow_start() || lasting != self.said;
        // what lasts is said in each answer
        if is_news {
            log::info!(
                leaving = word.is_leaving,
                rest_ms = word.backoff.map_or(0, |rest| rest.as_millis() as u64),
                limit_per_s = word.limit.rate().map_or(-1.0, RequestRate::per_s),
                cold_ms = word.slow_start_left.map_or(-1, |left| left.as_millis() as i64);
                "engine: says of itself"
            );
            self.said = lasting;
        }
        if is_news || !word.is_empty() {
            self.shared.handle(PlacementEvent::Signals(word));
        }
        value
    }

    async fn identify(&mut self, health_path: &str) {
        // another engine may answer, whose own word is news
        self.said = BackendSignals::default();
        let told = self.engine.identity(health_path).await;
        let Reported {
            value,
            signals: word,
        } = told;
        log::info!("engine: it is {value:?}");
        // a new life forgets what the one before it said
        self.shared.handle(PlacementEvent::Identified(value));
        self.take_word(Reported {
            value: (),
            signals: word,
        });
        self.publish();
    }

    async fn read(&mut self) {
        let told = self.engine.report().await;
        let event = match self.take_word(told) {
            Ok(report) => {
                if !self.is_reachable {
                    log::info!("engine: read again");
                }
                self.is_reachable = true;
                PlacementEvent::Report(report)
            }
            Err(e) => {
                if self.is_reachable {
                    log::warn!("engine: not read: {e}");
                }
                self.is_reachable = false;
                PlacementEvent::ReportFailed {
                    is_down: e.proves_no_listener(),
                }
            }
        };
        self.read_at = Some(clock::now());
        self.shared.handle(event);
        self.publish();
    }

    async fn order(&mut self, order: EngineOrder) {
        let told = self.engine.order(&order).await;
        let answer = self.take_word(told);
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

    fn publish(&mut self) {
        let now = clock::now();
        let mut view = self.shared.control().view(now);
        view.figures.readers = self.shared.view.receiver_count() as u32;
        let is_due = self
            .published
            .is_none_or(|at| now.saturating_duration_since(at) >= figures_pause(&view));
        let is_urgent = view.is_urgent_after(&self.shared.view.borrow());
        if is_urgent || (is_due && *self.shared.view.borrow() != view) {
            self.published = Some(now);
            self.shared.view.send_replace(view);
        }
    }
}

/// pause between two messages of figures, by those who read them
fn figures_pause(view: &EngineView) -> Duration {
    let pause = FIGURES_EVERY_READER * view.figures.readers;
    pause.clamp(FIGURES_EVERY, FIGURES_AT_LEAST_EVERY)
}
