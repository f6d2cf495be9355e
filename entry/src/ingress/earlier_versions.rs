//! Reads from the store's history which software versions were listed before this process started.
//!
//! Where all entries and sidecars end at one moment, nobody else can tell.

use {
    super::shared::Shared,
    chalkcart_coordination::{software_versions::EarlierVersions, watch::WatchTimes},
    chalkcart_state::published::{Record, StorePosition, Topic},
    chalkcart_transport::{
        clock,
        metadata::{MetadataSource, SourceError, WatchOutcome},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Largest number of the store's latest changes that are read.
const MAX_CHANGES: u64 = 4_096;
/// By how much fewer are read if the store has dropped some of them.
const STEP: u64 = 4;
/// Reads between the most changes that the store still has and the fewest that it has dropped.
const BISECTIONS: u32 = 3;
/// Calls that may fail before the search is given up, and the time between two of them.
const MAX_FAILURES: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Times of a read of changes that is not held.
const TIMES: WatchTimes = WatchTimes {
    hold: Duration::ZERO,
    response: Duration::from_millis(700),
};
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
            failures: 0,
        };
        let earlier = search.run().await;
        log::info!(
            is_known = earlier.is_some(),
            versions = earlier.as_ref().map(EarlierVersions::names).unwrap_or_default().as_str(),
            before:% = position,
            took_ms = clock::elapsed(began).as_millis() as u64;
            "store: earlier software versions"
        );
        if let Some(earlier) = earlier {
            shared.software_versions.on_earlier(&earlier);
        }
    }
    shared.software_versions.on_start_over();
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
    failures: u32,
}

impl HistorySearch {
    /// Returns the versions in all changes that the store has; `None` if that can't be known.
    async fn run(mut self) -> Option<EarlierVersions> {
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
        EarlierVersions::of(&changes)
    }

    /// Reads the latest changes, that many or a few more; the outer `None` says that the store can't
    /// be read, the inner one that it has dropped some of them.
    async fn read(&mut self, count: u64) -> Option<Option<Vec<Record>>> {
        loop {
            let after = self.position.back_by(count);
            match self.store.watch(Topic::Backends, after, TIMES).await {
                Ok(WatchOutcome::Records(update)) => return Some(Some(update.snapshot.records)),
                // without a single change there is nothing to know
                Ok(WatchOutcome::HistoryLost) if count == 0 => return None,
                Ok(WatchOutcome::HistoryLost) => return Some(None),
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
