//! Reads from the store's history which software versions were listed before this process started.
//!
//! Where all entries and sidecars end at one moment, nobody else can tell.

use {
    super::shared::Shared,
    chalkcart_coordination::software_versions::EarlierVersions,
    chalkcart_state::published::{StoreEra, StorePosition, Topic},
    chalkcart_transport::{
        clock,
        metadata::{MetadataSource, PastChange, SourceError},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Largest number of the store's latest changes that are read.
const MAX_CHANGES: u64 = 4_096;
/// A store of a later era has returned with an older state, and lacks what was listed after that.
const FIRST_ERA: StoreEra = 1;
/// By how much fewer are read if the store has dropped some of them.
const STEP: u64 = 4;
/// Reads between the most changes that the store still has and the fewest that it has dropped.
const BISECTIONS: u32 = 3;
/// Calls that may fail before the search is given up, and the time between two of them.
const MAX_FAILURES: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Shortest history that counts. A stream that is taken up ran at an engine that was listed, or had
/// left the list for no longer than it takes to drain and to start this process.
const MIN_HISTORY: Duration = Duration::from_secs(10);
/// Time between two checks of whether the process has its first list.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Reads the versions once this process has its first list. A first start of the whole fleet needs
/// none.
pub async fn read_earlier_versions(shared: Arc<Shared>, store: Arc<dyn MetadataSource>) {
    if !shared.settings.first_start {
        let position = first_position(&shared).await;
        let began = clock::now();
        let search = HistorySearch {
            store,
            position,
            heartbeat: shared.settings.heartbeat(),
            failures: 0,
        };
        let earlier = search.run().await;
        log::info!(
            is_history_known = earlier.is_some(),
            versions = earlier.as_ref().map(EarlierVersions::names).unwrap_or_default().as_str(),
            before:% = position,
            took_ms = clock::elapsed(began).as_millis() as u64;
            "store: earlier software versions"
        );
        if let Some(earlier) = earlier {
            shared.software_versions.on_earlier(&earlier);
        }
    }
    shared.software_versions.on_history_read();
}

async fn first_position(shared: &Shared) -> StorePosition {
    shared.configuration().await;
    while !shared.has_backend_list() {
        sleep(CHECK_INTERVAL).await;
    }
    shared.configuration_position()
}

/// A search for the oldest changes that the store still has.
struct HistorySearch {
    store: Arc<dyn MetadataSource>,
    /// The position up to which changes count.
    position: StorePosition,
    /// Interval at which back ends write their records.
    heartbeat: Duration,
    failures: u32,
}

impl HistorySearch {
    /// Returns the versions in all changes that the store has; `None` if that can't be known.
    async fn run(mut self) -> Option<EarlierVersions> {
        if self.position.era > FIRST_ERA {
            return None;
        }
        let all = self.position.revision;
        let mut count = MAX_CHANGES.min(all);
        // the fewest changes of which the store has dropped some
        let mut dropped = None;
        let mut changes = loop {
            if let Some(changes) = self.read(count).await? {
                break changes;
            }
            dropped = Some(count);
            count /= STEP;
        };
        if dropped.is_none() && count < all {
            return None;
        }
        for _ in 0..BISECTIONS {
            let Some(fewest) = dropped else {
                break;
            };
            let middle = (count + fewest) / 2;
            match self.read(middle).await? {
                Some(more) => (count, changes) = (middle, more),
                None => dropped = Some(middle),
            }
        }
        let is_whole = dropped.is_none();
        let changes = changes.iter().map(|change| (&change.record, change.writes));
        let earlier = EarlierVersions::of(changes, is_whole)?;
        let reaches_back = earlier.reaches_back(MIN_HISTORY, self.heartbeat);
        reaches_back.then_some(earlier)
    }

    /// Reads the latest changes, that many or a few more; the outer `None` says that the store can't
    /// be read, the inner one that it has dropped some of them.
    async fn read(&mut self, count: u64) -> Option<Option<Vec<PastChange>>> {
        loop {
            let after = self.position.back_by(count);
            let history = self.store.history(Topic::Backends, after, self.position);
            match history.await {
                // without a single change there is nothing to know
                Ok(None) if count == 0 => return None,
                Ok(changes) => return Some(changes),
                Err(e) => self.on_failure(&e).await?,
            }
        }
    }

    async fn on_failure(&mut self, e: &SourceError) -> Option<()> {
        log::warn!(cause = e.to_string().as_str(); "store: history not read");
        self.failures += 1;
        sleep(RETRY_DELAY).await;
        (self.failures < MAX_FAILURES).then_some(())
    }
}
