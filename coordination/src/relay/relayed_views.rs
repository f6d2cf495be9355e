use {
    chalkcart_protocol::peer::{
        EngineStats, EngineUpdate, EngineView, EngineViewState, ViewUpdate,
    },
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// What a reader of a relay learns about an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayedEvent {
    /// The view, whose `figures.age_ms` tells when its sidecar reported it.
    View(SocketAddr, Box<EngineView>),
    /// Nothing but the stats has changed.
    Stats(SocketAddr, BackendId, EngineStats),
    /// The sidecar is unresponsive, or no relay reports the engine any more.
    Lost(SocketAddr, BackendId),
}

/// The views that an entry or a relay has received through relays.
///
/// One relay is read at a time. After a change of the relay its reports may be older than those
/// of the previous one, and a relay reports engines before the reader's own list contains them.
/// Such a report updates the copy kept here, since later changes refer to it, and the view is
/// passed on with the next report.
#[derive(Debug, Default)]
pub struct RelayedViews {
    engines: HashMap<SocketAddr, RelayedView>,
    /// Number of relays that were read so far.
    relay: u64,
}

#[derive(Debug)]
struct RelayedView {
    view: EngineView,
    /// The time at which the sidecar sent the newest report that was passed on.
    reported_at: Instant,
    /// The relay that reported the engine last.
    relay: u64,
    /// Whether the view was not passed on.
    is_withheld: bool,
}

impl RelayedViews {
    /// Records that another relay is read from now on.
    pub fn on_relay_changed(&mut self) {
        self.relay += 1;
    }

    /// Applies an update of the current relay; `is_watched` tells whether the reader uses the
    /// engine.
    pub fn apply(
        &mut self,
        update: EngineUpdate,
        is_watched: bool,
        now: Instant,
    ) -> Option<RelayedEvent> {
        let (engine, age_ms) = (update.engine, update.age_ms);
        let EngineViewState::View(change) = update.word else {
            return match update.word {
                EngineViewState::Silent => self.forget(engine).filter(|_| is_watched),
                _ => None,
            };
        };
        let is_whole = matches!(change, ViewUpdate::Whole(_));
        if matches!(change, ViewUpdate::Unknown) || !(is_whole || self.has_from_relay(engine)) {
            // A change without the view that it refers to.
            return None;
        }
        let reported_at = now
            .checked_sub(Duration::from_millis(u64::from(age_ms)))
            .unwrap_or(now);
        let relay = self.relay;
        let known = self.engines.entry(engine).or_insert_with(|| RelayedView {
            view: EngineView::default(),
            reported_at,
            relay,
            is_withheld: true,
        });
        let may_be_older = known.relay != relay || known.is_withheld;
        let is_older = may_be_older && reported_at < known.reported_at;
        let is_stats = matches!(change, ViewUpdate::Figures(_)) && !known.is_withheld;
        known.view.apply(change);
        known.view.figures.age_ms = age_ms;
        known.relay = relay;
        known.is_withheld = is_older || !is_watched;
        if known.is_withheld {
            return None;
        }
        known.reported_at = reported_at;
        if is_stats {
            let backend = known.view.backend.clone();
            return Some(RelayedEvent::Stats(engine, backend, known.view.figures));
        }
        let view = Box::new(known.view.clone());
        // The receiver keeps the recently held adapters, so they are passed on only once.
        known.view.lately.clear();
        Some(RelayedEvent::View(engine, view))
    }

    /// Forgets the engines that the current relay has not reported, and returns the loss of
    /// those that the reader uses.
    pub fn forget_unreported(
        &mut self,
        is_watched: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<RelayedEvent> {
        let relay = self.relay;
        self.forget_where(|known| known.relay != relay, is_watched)
    }

    /// Forgets all engines, as no relay responds, and returns the loss of those that the reader
    /// uses.
    pub fn forget_all(&mut self, is_watched: impl Fn(&SocketAddr) -> bool) -> Vec<RelayedEvent> {
        self.forget_where(|_| true, is_watched)
    }

    fn has_from_relay(&self, engine: SocketAddr) -> bool {
        let known = self.engines.get(&engine);
        known.is_some_and(|known| known.relay == self.relay)
    }

    fn forget_where(
        &mut self,
        is_forgotten: impl Fn(&RelayedView) -> bool,
        is_watched: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<RelayedEvent> {
        let forgotten = self.engines.iter().filter(|(_, known)| is_forgotten(known));
        let forgotten: Vec<SocketAddr> = forgotten.map(|(engine, _)| *engine).collect();
        let lost = forgotten.into_iter().filter_map(|engine| {
            let lost = self.forget(engine);
            lost.filter(|_| is_watched(&engine))
        });
        lost.collect()
    }

    fn forget(&mut self, engine: SocketAddr) -> Option<RelayedEvent> {
        let known = self.engines.remove(&engine)?;
        Some(RelayedEvent::Lost(engine, known.view.backend))
    }
}
