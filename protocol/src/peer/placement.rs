use {
    chalkcart_state::{
        backends::{AdapterRef, BackendId, HeldAdapter},
        ids::{BaseModelName, BoxName},
        published::{StoreEra, StorePosition},
    },
    serde::{
        de::{EnumAccess, IgnoredAny, VariantAccess, Visitor},
        Deserialize, Deserializer, Serialize,
    },
    std::fmt,
};

/// An adapter that requests at an entry are waiting for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedAdapter {
    pub adapter: AdapterRef,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Priority of the most urgent of them; 0 is the most urgent.
    pub priority: u8,
    /// How long the oldest has waited, in ms.
    pub waited_ms: u32,
}

/// Requests of an entry that run on an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    pub adapter: AdapterRef,
    /// Requests sent and not completed.
    pub in_flight: u32,
}

/// Configured capacity of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    pub adapter_slots: u32,
    /// Memory for base models and adapters together, in MB.
    pub weights_mb: f64,
    pub models: Vec<ModelSize>,
}

/// Sizes of a base model and of one of its adapters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSize {
    pub model: BaseModelName,
    pub weights_mb: f64,
    pub adapter_mb: f64,
    /// Time to reload the model on an engine that held it before, in ms.
    pub reload_ms: u32,
}

/// The highest number of entries that a sidecar counted, as its sender knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEntries {
    /// 0 if no count is known.
    pub entries: u32,
    /// Time since a sidecar counted that many, in s, rounded up.
    pub age_s: u32,
}

/// An entry's demand on one engine; replaces the previous one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterDemand {
    /// The sender: an entry, or a relay for several entries.
    pub entry: BoxName,
    /// Number of entries that it represents.
    pub entries: u32,
    /// The engine's incarnation as the entry knows it.
    pub backend: BackendId,
    /// Revision of the store at which the list with the engine was read.
    pub list_version: u64,
    /// Highest fence that the entry has seen at the engine's address. A restarted sidecar learns
    /// it from here.
    pub fence_seen: u64,
    /// Path at which the engine reports its identity.
    pub health_path: String,
    pub room: EngineCapacity,
    pub wanted: Vec<WantedAdapter>,
    /// Adapters in use, and with 0 requests those used since the previous message.
    pub used: Vec<AdapterUse>,
    /// Adapters loaded on the engine of which a newer version exists.
    pub outdated: Vec<HeldAdapter>,
    /// Era of the store at which the list was read; 0 from builds before wire version 8.
    #[serde(default)]
    pub list_era: StoreEra,
    /// Number of entries that the sender knows of; unknown from builds before wire version 10.
    #[serde(default)]
    pub known_entries: KnownEntries,
}

impl AdapterDemand {
    /// Returns the position of the store at which the list with the engine was read.
    pub fn list_position(&self) -> StorePosition {
        StorePosition::new(self.list_era, self.list_version)
    }
    /// Whether two demands differ in nothing but the version of the list, the sender and the
    /// number of entries that it knows of.
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

/// A sidecar's view of its engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine's incarnation; empty while unknown.
    pub backend: BackendId,
    /// Loaded base models.
    pub models: Vec<BaseModelName>,
    /// Loaded adapters, to which requests may be sent.
    pub held: Vec<HeldAdapter>,
    /// Adapters being loaded.
    pub loading: Vec<AdapterRef>,
    /// Hashes of recently held adapters, which reload from the host cache. Only full views list
    /// them; receivers add the adapters that later updates remove.
    pub lately: Vec<u64>,
    pub figures: EngineStats,
}

impl EngineView {
    /// Whether another view differs in more than its stats.
    pub fn differs_beyond_stats(&self, other: &Self) -> bool {
        self.backend != other.backend
            || self.models != other.models
            || self.held != other.held
            || self.loading != other.loading
    }

    /// Whether entries should receive this view immediately after `before`, rather than with
    /// the next periodic update.
    pub fn is_urgent_after(&self, before: &Self) -> bool {
        let had_spare = before.figures.spare_slots > 0;
        let has_spare = self.figures.spare_slots > 0;
        self.differs_beyond_stats(before)
            || had_spare != has_spare
            || self.figures.differs_in_availability(&before.figures)
    }

    /// Like [`Self::is_urgent_after`] for a view that a relay forwards: adapters being loaded
    /// and spare slots can wait for the relay's next periodic update.
    pub fn is_urgent_for_relay_after(&self, before: &Self) -> bool {
        self.backend != before.backend
            || self.models != before.models
            || self.held != before.held
            || self.figures.differs_in_availability(&before.figures)
    }
}

/// Stats of an engine, which change more often than the rest of its view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenFigures", into = "WrittenFigures")]
pub struct EngineStats {
    /// Fence of the sidecar's orders.
    pub fence: u64,
    /// Expected time to load an adapter requested now, in ms.
    pub next_load_ms: u32,
    /// Expected time to reload a recently held adapter, in ms.
    pub next_return_ms: u32,
    /// Slots that are empty or hold an unused adapter.
    pub spare_slots: u32,
    pub running: u32,
    pub queued: u32,
    /// Running and queued requests whose prefill is not complete.
    pub reading: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// Entries that report to this sidecar, directly or through relays.
    pub entries: u32,
    /// Direct readers of this sidecar's views: relays, and entries without a relay.
    pub readers: u32,
    /// Time since the sidecar reported these stats, in ms, as counted by relays.
    pub age_ms: u32,
    /// Whether connections to the engine are refused on its own machine, so that the view's
    /// incarnation has ended; `None` if the sidecar does not report it.
    pub is_down: Option<bool>,
    /// Whether the engine has told its sidecar that it is draining. Also false if the sidecar
    /// does not report it; entries then learn it from the engine's record and responses.
    pub is_leaving: bool,
    /// Limit that the engine advertises for all entries together, in thousandths of requests
    /// per second. `None` without a limit, or if the sidecar does not report it; entries then
    /// learn it from the engine's responses.
    pub limit_milli_per_s: Option<u32>,
    /// Remaining duration of the engine's slow start, in ms, at most 65 s. 0 if the engine or
    /// its sidecar does not report it; entries then learn it from the engine's record.
    pub cold_left_ms: u16,
    /// Measured prefill rate in prompt tokens per second. `None` until it is measured, or if the
    /// sidecar does not report it.
    pub prefill_tokens_per_s: Option<u32>,
    /// Measured interval between two events of a stream while nothing is prefilled, in µs. `None`
    /// until it is measured, or if the sidecar does not report it.
    pub event_interval_us: Option<u32>,
    /// Prompt tokens of running and queued requests that are not prefilled yet. `None` if the
    /// engine or its sidecar does not report it.
    pub prefill_tokens: Option<u32>,
    /// Number of entries that the sidecar knows of, including those that it does not hear any
    /// more; unknown from builds before wire version 10.
    pub known_entries: KnownEntries,
}

impl EngineStats {
    /// Whether the engine's liveness, draining, limit or slow start has changed.
    pub fn differs_in_availability(&self, before: &Self) -> bool {
        self.is_down != before.is_down
            || self.is_leaving != before.is_leaving
            || self.limit_milli_per_s != before.limit_milli_per_s
            || (self.cold_left_ms > 0) != (before.cold_left_ms > 0)
    }
}

/// Encoded form of [`EngineStats`]. The fields after `age_ms` were added in later wire versions
/// and have a defined meaning when missing.
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
    /// Since wire version 3, which always writes it; missing if unknown.
    #[serde(default)]
    is_down: Option<bool>,
    /// Since wire version 4: `is_down` is unknown and must be ignored. Missing if it is known.
    #[serde(default)]
    is_down_unknown: bool,
    /// Since wire version 4; missing if not reported.
    #[serde(default)]
    is_leaving: bool,
    /// Since wire version 5; missing if not reported.
    #[serde(default)]
    limit_milli_per_s: Option<u32>,
    /// Since wire version 5; missing if not reported.
    #[serde(default)]
    cold_left_ms: u16,
    /// Since wire version 7; missing if not reported.
    #[serde(default)]
    prefill_tokens_per_s: Option<u32>,
    /// Since wire version 7; missing if not reported.
    #[serde(default)]
    event_interval_us: Option<u32>,
    /// Since wire version 7; missing if not reported.
    #[serde(default)]
    prefill_tokens: Option<u32>,
    /// Since wire version 10; missing if not reported.
    #[serde(default)]
    known_entries: KnownEntries,
}

impl From<WrittenFigures> for EngineStats {
    fn from(written: WrittenFigures) -> Self {
        Self {
            fence: written.fence,
            next_load_ms: written.next_load_ms,
            next_return_ms: written.next_return_ms,
            spare_slots: written.spare_slots,
            running: written.running,
            queued: written.queued,
            reading: written.reading,
            kv_used: written.kv_used,
            kv_total: written.kv_total,
            entries: written.entries,
            readers: written.readers,
            age_ms: written.age_ms,
            is_down: written.is_down.filter(|_| !written.is_down_unknown),
            is_leaving: written.is_leaving,
            limit_milli_per_s: written.limit_milli_per_s,
            cold_left_ms: written.cold_left_ms,
            prefill_tokens_per_s: written.prefill_tokens_per_s,
            event_interval_us: written.event_interval_us,
            prefill_tokens: written.prefill_tokens,
            known_entries: written.known_entries,
        }
    }
}

impl From<EngineStats> for WrittenFigures {
    fn from(stats: EngineStats) -> Self {
        Self {
            fence: stats.fence,
            next_load_ms: stats.next_load_ms,
            next_return_ms: stats.next_return_ms,
            spare_slots: stats.spare_slots,
            running: stats.running,
            queued: stats.queued,
            reading: stats.reading,
            kv_used: stats.kv_used,
            kv_total: stats.kv_total,
            entries: stats.entries,
            readers: stats.readers,
            age_ms: stats.age_ms,
            // wire version 3 requires a boolean
            is_down: Some(stats.is_down.unwrap_or(false)),
            is_down_unknown: stats.is_down.is_none(),
            is_leaving: stats.is_leaving,
            limit_milli_per_s: stats.limit_milli_per_s,
            cold_left_ms: stats.cold_left_ms,
            prefill_tokens_per_s: stats.prefill_tokens_per_s,
            event_interval_us: stats.event_interval_us,
            prefill_tokens: stats.prefill_tokens,
            known_entries: stats.known_entries,
        }
    }
}

/// Changes of a view since the previous message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewChange {
    /// Adapters loaded since, or replaced by another version.
    pub came: Vec<HeldAdapter>,
    pub left: Vec<AdapterRef>,
    pub loading: Vec<AdapterRef>,
    pub figures: EngineStats,
}

/// A message of a view stream.
///
/// Variants added later must have a payload, and are sent only to peers whose wire version has
/// them. Other builds decode them as `Unknown`, which changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum ViewUpdate {
    Whole(EngineView),
    /// The adapters changed, on the same incarnation with the same base models.
    Changed(ViewChange),
    /// Only the stats changed.
    Figures(EngineStats),
    /// Variant of a later build, which is ignored.
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
        f.write_str("a message of a view stream")
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
    /// Returns the smallest message that turns `before` into `after`.
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
    /// Applies the next message of the stream.
    pub fn apply(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Whole(view) => *self = view,
            ViewUpdate::Figures(figures) => self.figures = figures,
            ViewUpdate::Unknown => {}
            ViewUpdate::Changed(change) => {
                let is_unchanged = |h: &HeldAdapter| {
                    !change.left.contains(&h.adapter)
                        && !change.came.iter().any(|c| c.adapter == h.adapter)
                };
                self.held.retain(is_unchanged);
                self.held.extend(change.came);
                self.held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
                self.loading = change.loading;
                self.figures = change.figures;
            }
        }
    }
}
