use {
    chalkcart_state::{
        backends::{AdapterRef, BackendId, HeldAdapter},
        ids::{BaseModelName, BoxName},
    },
    serde::{
        de::{EnumAccess, IgnoredAny, VariantAccess, Visitor},
        Deserialize, Deserializer, Serialize,
    },
    std::fmt,
};

/// an adapter that requests wait for at an entry
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedAdapter {
    pub adapter: AdapterRef,
    /// requests that wait
    pub waiting: u32,
    /// of the most urgent of them; 0 is the most urgent
    pub priority: u8,
    /// how long the first has waited
    pub waited_ms: u32,
}

/// requests of an entry that run on an adapter
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    pub adapter: AdapterRef,
    /// requests sent and not ended
    pub in_flight: u32,
}

/// what an engine may hold, by the configuration
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    pub adapter_slots: u32,
    /// room for base models and adapters together
    pub weights_mb: f64,
    pub models: Vec<ModelSize>,
}

/// sizes of a base model and of one of its adapters
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSize {
    pub model: BaseModelName,
    pub weights_mb: f64,
    pub adapter_mb: f64,
    /// time to bring the model back to an engine that held it, in ms
    pub reload_ms: u32,
}

/// what an entry needs of one engine; replaces what it said before
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterDemand {
    /// who says it: an entry, or a relay for several
    pub entry: BoxName,
    /// entries for which it speaks
    pub entries: u32,
    /// the incarnation of the engine that the entry knows
    pub backend: BackendId,
    /// version of the list in which it stands
    pub list_version: u64,
    /// the highest fence that this entry has heard of at the engine's address;
    /// it outlives the sidecar's process
    pub fence_seen: u64,
    /// at which the engine tells its identity
    pub health_path: String,
    pub room: EngineCapacity,
    pub wanted: Vec<WantedAdapter>,
    /// adapters in use, and those used since the last message (with 0)
    pub used: Vec<AdapterUse>,
    /// adapters of the engine that have a newer version
    pub outdated: Vec<HeldAdapter>,
}

impl AdapterDemand {
    /// whether another message asks for the same of the same incarnation; a
    /// newer version of the list alone is no news
    pub fn is_equivalent_to(&self, other: &Self) -> bool {
        self.backend == other.backend
            && self.entries == other.entries
            && self.fence_seen == other.fence_seen
            && self.wanted == other.wanted
            && self.used == other.used
            && self.outdated == other.outdated
            && self.health_path == other.health_path
            && self.room == other.room
    }
}

/// what a sidecar says of its engine
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// the incarnation it speaks of, empty while not known
    pub backend: BackendId,
    /// base models that are there
    pub models: Vec<BaseModelName>,
    /// adapters that requests may be sent to
    pub held: Vec<HeldAdapter>,
    /// adapters on their way
    pub loading: Vec<AdapterRef>,
    /// hashes of adapters that it has held and can bring back at once; only a
    /// whole message brings them, later ones are those that leave
    pub lately: Vec<u64>,
    pub figures: EngineStats,
}

impl EngineView {
    /// whether another view differs in more than figures
    pub fn differs_beyond_stats(&self, other: &Self) -> bool {
        self.backend != other.backend
            || self.models != other.models
            || self.held != other.held
            || self.loading != other.loading
    }

    /// whether entries should hear this view at once, when `before` was the last
    pub fn is_urgent_after(&self, before: &Self) -> bool {
        let had_spare = before.figures.spare_slots > 0;
        let has_spare = self.figures.spare_slots > 0;
        self.differs_beyond_stats(before)
            || had_spare != has_spare
            || self.figures.differs_in_availability(&before.figures)
    }

    /// the same where a relay gathers views: adapters on their way and places can
    /// wait for its next message
    pub fn is_urgent_for_relay_after(&self, before: &Self) -> bool {
        self.backend != before.backend
            || self.models != before.models
            || self.held != before.held
            || self.figures.differs_in_availability(&before.figures)
    }
}

/// the figures of a view, which change more often than the rest
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenFigures", into = "WrittenFigures")]
pub struct EngineStats {
    /// of the orders that the sidecar gives
    pub fence: u64,
    /// time until an adapter that is wanted now would be there, in ms
    pub next_load_ms: u32,
    /// the same for one that the engine has held lately, in ms
    pub next_return_ms: u32,
    /// places that are empty or whose adapter nobody uses
    pub spare_slots: u32,
    pub running: u32,
    pub queued: u32,
    /// of both, those whose prompts were not read to the end
    pub reading: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// entries that this sidecar hears, of itself or by relays
    pub entries: u32,
    /// who reads views of this sidecar: relays, and entries without one
    pub readers: u32,
    /// time since the sidecar said so, in ms, as counted by relays
    pub age_ms: u32,
    /// nobody listens at the engine's address on its own machine: the life that the view
    /// speaks of is over; none if the sidecar does not say, which proves neither
    pub is_down: Option<bool>,
    /// the engine has told its sidecar that it leaves; false if it has not, or if the
    /// sidecar does not say: its record and its answers to entries tell it then
    pub is_leaving: bool,
    /// Thousandths of requests a second that the engine says it takes from all entries
    /// together; none if it names no limit, or if the sidecar does not say: answers to
    /// entries tell it then
    pub limit_milli_per_s: Option<u32>,
    /// how much longer the engine is cold by its own word, in ms, or the longest time that
    /// can be said (65 s); 0 if it has not said so,
    /// or if the sidecar does not say: its record tells it then
    pub cold_left_ms: u16,
}

impl EngineStats {
    /// whether the engine's end, or how much it takes, is news since these figures
    pub fn differs_in_availability(&self, before: &Self) -> bool {
        self.is_down != before.is_down
            || self.is_leaving != before.is_leaving
            || self.limit_milli_per_s != before.limit_milli_per_s
            || (self.cold_left_ms > 0) != (before.cold_left_ms > 0)
    }
}

/// The figures as they are written. What stands behind `age_ms` came later, and has a
/// meaning where it is missing.
#[derive(Serialize, Deserialize)]
struct WrittenFigures {
    fence: u64,
    next_load_ms: u32,
    next_return_ms: u32,
    spare_slots: u32,
    running: u32,
    queued: u32,
    reading: u32,
    kv_used: u64,
    kv_total: u64,
    entries: u32,
    readers: u32,
    age_ms: u32,
    /// since 3, where it is always written; missing: not known
    #[serde(default)]
    is_down: Option<bool>,
    /// since 4; `is_down` was not said by the sidecar and proves nothing. Missing: it was
    #[serde(default)]
    is_down_unknown: bool,
    /// since 4; missing: not said
    #[serde(default)]
    is_leaving: bool,
    /// since 5; missing: not said
    #[serde(default)]
    limit_milli_per_s: Option<u32>,
    /// since 5; missing: not said
    #[serde(default)]
    cold_left_ms: u16,
}

impl From<WrittenFigures> for EngineStats {
    fn from(w: WrittenFigures) -> Self {
        Self {
            fence: w.fence,
            next_load_ms: w.next_load_ms,
            next_return_ms: w.next_return_ms,
            spare_slots: w.spare_slots,
            running: w.running,
            queued: w.queued,
            reading: w.reading,
            kv_used: w.kv_used,
            kv_total: w.kv_total,
            entries: w.entries,
            readers: w.readers,
            age_ms: w.age_ms,
            is_down: w.is_down.filter(|_| !w.is_down_unknown),
            is_leaving: w.is_leaving,
            limit_milli_per_s: w.limit_milli_per_s,
            cold_left_ms: w.cold_left_ms,
        }
    }
}

impl From<EngineStats> for WrittenFigures {
    fn from(f: EngineStats) -> Self {
        Self {
            fence: f.fence,
            next_load_ms: f.next_load_ms,
            next_return_ms: f.next_return_ms,
            spare_slots: f.spare_slots,
            running: f.running,
            queued: f.queued,
            reading: f.reading,
            kv_used: f.kv_used,
            kv_total: f.kv_total,
            entries: f.entries,
            readers: f.readers,
            age_ms: f.age_ms,
            // 3 can read nothing but a yes or no here
            is_down: Some(f.is_down.unwrap_or(false)),
            is_down_unknown: f.is_down.is_none(),
            is_leaving: f.is_leaving,
            limit_milli_per_s: f.limit_milli_per_s,
            cold_left_ms: f.cold_left_ms,
        }
    }
}

/// what has changed in a view since the message before
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewChange {
    /// adapters that came, or that are there in another version
    pub came: Vec<HeldAdapter>,
    pub left: Vec<AdapterRef>,
    pub loading: Vec<AdapterRef>,
    pub figures: EngineStats,
}

/// One message of a stream of views.
///
/// A variant that comes later has a payload, and goes only to peers that know it: to others
/// it is `Unknown`, which changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum ViewUpdate {
    Whole(EngineView),
    /// the same incarnation with the same base models holds other adapters
    Changed(ViewChange),
    /// nothing but the figures has changed
    Figures(EngineStats),
    /// of a later build, passed over
    #[serde(skip)]
    Unknown,
}

#[derive(Deserialize)]
#[serde(field_identifier)]
enum ViewUpdateName {
    Whole,
    Changed,
    Figures,
    #[serde(other)]
    Unknown,
}

impl<'de> Deserialize<'de> for ViewUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        const NAMES: &[&str] = &["Whole", "Changed", "Figures"];
        deserializer.deserialize_enum("ViewUpdate", NAMES, ViewUpdateVisitor)
    }
}

struct ViewUpdateVisitor;

impl<'de> Visitor<'de> for ViewUpdateVisitor {
    type Value = ViewUpdate;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a message of a stream of views")
    }
    fn visit_enum<A: EnumAccess<'de>>(self, data: A) -> Result<ViewUpdate, A::Error> {
        let (name, content) = data.variant::<ViewUpdateName>()?;
        match name {
            ViewUpdateName::Whole => content.newtype_variant().map(ViewUpdate::Whole),
            ViewUpdateName::Changed => content.newtype_variant().map(ViewUpdate::Changed),
            ViewUpdateName::Figures => content.newtype_variant().map(ViewUpdate::Figures),
            ViewUpdateName::Unknown => {
                content.newtype_variant::<IgnoredAny>()?;
                Ok(ViewUpdate::Unknown)
            }
        }
    }
}

impl ViewUpdate {
    /// the smallest message that makes `after` of `before`
    pub fn between(before: &EngineView, after: &EngineView) -> Self {
        if before.backend != after.backend || before.models != after.models {
            return Self::Whole(after.clone());
        }
        if !before.differs_beyond_stats(after) {
            return Self::Figures(after.figures);
        }
        let came = after.held.iter().filter(|h| !before.held.contains(h));
        let is_held = |a: &AdapterRef| after.held.iter().any(|h| h.adapter == *a);
        let left = before.held.iter().map(|h| &h.adapter);
        Self::Changed(ViewChange {
            came: came.cloned().collect(),
            left: left.filter(|a| !is_held(a)).cloned().collect(),
            loading: after.loading.clone(),
            figures: after.figures,
        })
    }
}

impl EngineView {
    /// take in the next message of the stream
    pub fn apply(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Whole(view) => *self = view,
            ViewUpdate::Figures(figures) => self.figures = figures,
            ViewUpdate::Unknown => {}
            ViewUpdate::Changed(change) => {
                let is_known = |h: &HeldAdapter| {
                    !change.left.contains(&h.adapter)
                        && !change.came.iter().any(|c| c.adapter == h.adapter)
                };
                self.held.retain(is_known);
                self.held.extend(change.came);
                self.held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
                self.loading = change.loading;
                self.figures = change.figures;
            }
        }
    }
}
