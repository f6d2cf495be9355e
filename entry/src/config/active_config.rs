use {
    super::{ConfigOfferError, ShardSource},
    arc_swap::{ArcSwap, ArcSwapOption},
    chalkcart_coordination::config::{decide_offer, OfferDecision},
    chalkcart_state::{
        config::{Configuration, Root, Shard},
        fleet::FleetList,
        ids::Generation,
    },
    std::sync::Arc,
    tokio::sync::Mutex,
};

/// The configuration in force and the newest list of boxes.
///
/// Readers never block; offers are handled one at a time.
#[derive(Default)]
pub struct ActiveConfig {
    in_force: ArcSwapOption<Configuration>,
    list: ArcSwap<FleetList>,
    offers: Mutex<()>,
}

impl ActiveConfig {
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.in_force.load_full()
    }
    pub fn generation(&self) -> Generation {
        self.in_force.load().as_ref().map_or(0, |c| c.generation())
    }
    pub fn list(&self) -> Arc<FleetList> {
        self.list.load_full()
    }

    /// Replaces the list if the offered one is newer; returns whether it was.
    pub fn offer_list(&self, list: FleetList) -> bool {
        let current = self.list.load();
        if list.version <= current.version {
            return false;
        }
        self.list.store(Arc::new(list));
        true
    }

    /// Puts an offered root in force if its generation is higher, after fetching the shards
    /// that differ.
    pub async fn offer(
        &self,
        root: Root,
        source: &dyn ShardSource,
    ) -> Result<OfferDecision, ConfigOfferError> {
        let _guard = self.offers.lock().await;
        let current = self.in_force.load_full();
        let decision = decide_offer(current.as_ref().map(|c| c.root().as_ref()), &root);
        match decision {
            OfferDecision::Accept => {}
            OfferDecision::Conflict => return Err(ConfigOfferError::Conflict(root.generation)),
            OfferDecision::Unchanged | OfferDecision::Stale { .. } => return Ok(decision),
        }
        root.check()?;
        let missing = match &current {
            Some(current) => current.missing_shards(&root),
            None => (0..root.shards.len()).collect(),
        };
        let mut shards = Vec::with_capacity(missing.len());
        for index in missing {
            let shard = source.fetch(index, &root.shards[index]).await?;
            shards.push((index, shard));
        }
        self.activate(current, root, shards)?;
        Ok(OfferDecision::Accept)
    }

    fn activate(
        &self,
        current: Option<Arc<Configuration>>,
        root: Root,
        shards: Vec<(usize, Shard)>,
    ) -> Result<(), ConfigOfferError> {
        let root = Arc::new(root);
        let next = match current {
            Some(current) => current.advance(root, shards)?,
            None => {
                let shards = shards.into_iter().map(|(_, shard)| shard);
                Configuration::new(root, shards.collect())?
            }
        };
        log::info!("config: generation {} in force", next.generation());
        self.in_force.store(Some(Arc::new(next)));
        Ok(())
    }
}
