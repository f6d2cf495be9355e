use {
    super::holds::{Holds, RESTORED_HOLD},
    chalkcart_state::{
        ids::ZoneName,
        published::{Record, Snapshot, StorePosition},
    },
    std::{collections::HashSet, time::Instant},
};

/// The zones that operators have evacuated, whose back ends receive no requests.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    at: StorePosition,
    listed: HashSet<ZoneName>,
    /// Zones whose evacuation a restored store has lost.
    held: Holds<ZoneName>,
    /// The zones that were returned last.
    reported: HashSet<ZoneName>,
}

impl EvacuatedZones {
    /// Applies all records of the configuration if `is_full`, else the changed ones. Returns the
    /// evacuated zones if they have changed.
    pub fn apply(
        &mut self,
        snapshot: &Snapshot,
        is_full: bool,
        now: Instant,
    ) -> Option<HashSet<ZoneName>> {
        if is_full {
            let before = std::mem::take(&mut self.listed);
            if snapshot.at.era > self.at.era {
                let until = now + RESTORED_HOLD;
                before
                    .into_iter()
                    .for_each(|zone| self.held.hold(zone, until));
            }
        }
        self.at = snapshot.at;
        for record in &snapshot.records {
            self.apply_record(record, is_full);
        }
        self.held.expire(now);
        let zones: HashSet<ZoneName> = self
            .listed
            .iter()
            .chain(self.held.keys())
            .cloned()
            .collect();
        if zones == self.reported {
            return None;
        }
        self.reported = zones.clone();
        Some(zones)
    }

    fn apply_record(&mut self, record: &Record, is_full: bool) {
        let Record::Zone { zone, is_evacuated } = record else {
            return;
        };
        match is_evacuated {
            true => self.listed.insert(zone.clone()),
            false => self.listed.remove(zone),
        };
        // A record that ends the evacuation may be the repetition of an earlier one.
        if !is_full && *is_evacuated {
            self.held.release(zone);
        }
    }
}
