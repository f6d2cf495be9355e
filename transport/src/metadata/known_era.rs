use {chalkcart_state::published::StoreEra, tokio::sync::watch};

/// The latest era of the store that a process knows; 0 if the store names none.
#[derive(Debug)]
pub struct KnownEra(watch::Sender<StoreEra>);

impl Default for KnownEra {
    fn default() -> Self {
        Self(watch::Sender::new(0))
    }
}

impl KnownEra {
    pub fn get(&self) -> StoreEra {
        *self.0.borrow()
    }

    /// Records an era, which may be an earlier one.
    pub fn raise(&self, era: StoreEra) {
        let before = self.get();
        let is_later = self.0.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later
        });
        if is_later && before != 0 {
            log::warn!(era = era, before = before; "store: era changed");
        }
    }

    /// Waits until a later era is known.
    pub async fn passes(&self, era: StoreEra) {
        let mut known = self.0.subscribe();
        // The sender lives as long as this value.
        let _ = known.wait_for(|known| *known > era).await;
    }
}
