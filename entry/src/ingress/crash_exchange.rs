use {
    super::shared::Shared,
    chalkcart_coordination::membership::{AggregatedState, AggregatorSelector},
    chalkcart_protocol::peer::{path, CrashCursor, CrashRequest, CrashResponse},
    chalkcart_transport::{
        client::{ClientError, PeerClient},
        clock,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// Keepers that each entry tells and hears: while one is silent the other goes on. Entries
/// whose lists differ still share one of two more often than not, and pass on what they
/// hear by one to the other.
const KEEPERS: usize = 2;
/// Time for which a keeper holds a call without news. With the time for its answer it is
/// 1.8 s until two silent keepers at once are left for the next, of the 3 s within which
/// each entry must know (the shortest `ContactMs` of the platform's pages).
const HELD_FOR: Duration = Duration::from_millis(1_500);
/// longest time for a keeper's answer, beyond what it holds the call for
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// pause before the next keeper is asked
const RETRY: Duration = Duration::from_millis(20);
/// time between two looks while no engine is listed
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// one of the links by which an entry shares what it knows
struct CrashLink {
    shared: Arc<Shared>,
    choice: Arc<Mutex<AggregatorSelector>>,
    rank: usize,
    peers: PeerClient,
    changed: watch::Receiver<u64>,
    present: Option<Present>,
}

/// the keeper of the moment
#[derive(Debug, Clone, Copy)]
struct Present {
    engine: SocketAddr,
    /// revision of the own book up to which it knows all
    told: u64,
    heard: Option<CrashCursor>,
}

/// share what this entry knows with all others, until the process ends
pub fn exchange_crashes(shared: &Arc<Shared>) {
    let choice = AggregatorSelector::new(AggregatedState::Crashes);
    let choice = Arc::new(Mutex::new(choice));
    for rank in 0..KEEPERS {
        let link = CrashLink {
            shared: shared.clone(),
            choice: choice.clone(),
            rank,
            peers: PeerClient::new(),
            changed: shared.crashes.subscribe(),
            present: None,
        };
        tokio::spawn(link.run());
    }
}

impl CrashLink {
    async fn run(mut self) {
        loop {
            let Some(present) = self.choose() else {
                sleep(LOOK_EVERY).await;
                continue;
            };
            if let Err(e) = self.exchange(present).await {
                self.on_no_answer(present, &e);
                sleep(RETRY).await;
            }
        }
    }

    /// the keeper to be used now
    fn choose(&mut self) -> Option<Present> {
        let engines = self.shared.control.engines();
        let engine = self
            .choice()
            .select_ranked(self.rank, &engines, clock::now())?;
        let kept = self.present.filter(|present| present.engine == engine);
        let present = kept.unwrap_or_else(|| {
            log::info!(keeper = engine.to_string().as_str(), rank = self.rank;
                "crashes: keeper taken");
            Present {
                engine,
                told: 0,
                heard: None,
            }
        });
        self.present = Some(present);
        self.present
    }

    /// tell what the keeper does not know, or wait for what others tell it
    async fn exchange(&mut self, present: Present) -> Result<(), ClientError> {
        self.changed.mark_unchanged();
        let (words, told) = self.shared.crashes.reports_since(present.told);
        let is_held = words.is_empty() && present.heard.is_some();
        let wait = if is_held { HELD_FOR } else { Duration::ZERO };
        let ask = CrashRequest {
            entry: self.shared.settings.name.clone(),
            heard: present.heard,
            words,
            wait_ms: wait.as_millis() as u64,
        };
        let keeper = SocketAddr::new(present.engine.ip(), self.shared.settings.sidecar_port);
        let limit = wait + ANSWER_LIMIT;
        let call = self
            .peers
            .call::<_, CrashResponse>(keeper, path::CRASHES, &ask, limit);
        let answer = tokio::select! {
            answer = call => answer?,
            // news of our own go out at once
            changed = self.changed.changed(), if is_held => {
                // an error says that the process ends
                let _ = changed;
                return Ok(());
            }
        };
        self.choice().on_response(present.engine);
        self.take_in(present, told, answer);
        Ok(())
    }

    fn take_in(&mut self, before: Present, told: u64, answer: CrashResponse) {
        let heard = before.heard;
        let is_other = heard.is_some_and(|heard| heard.keeper != answer.mark.keeper);
        let told = self.shared.crashes.merge(&answer.words, told);
        self.present = Some(Present {
            // one that has started again has forgotten all
            told: if is_other { 0 } else { told },
            heard: Some(answer.mark),
            ..before
        });
    }

    /// A call that was held has cost more time than a second one would be worth.
    fn on_no_answer(&mut self, present: Present, e: &ClientError) {
        log::warn!(keeper = present.engine.to_string().as_str(),
            cause = e.to_string().as_str(); "crashes: no answer");
        let now = clock::now();
        match present.heard {
            _ if e.is_unsupported_by_peer() => self.choice().on_unsupported(present.engine, now),
            Some(_) => self.choice().on_timeout(present.engine, now),
            None => self.choice().on_failure(present.engine, now),
        }
        self.present = None;
    }

    fn choice(&self) -> MutexGuard<'_, AggregatorSelector> {
        // no holder panics halfway through a change
        self.choice.lock().unwrap_or_else(|e| e.into_inner())
    }
}
