use {
    super::{AdapterDemand, ViewUpdate},
    chalkcart_state::ids::{BoxName, ZoneName},
    serde::{
        de::{EnumAccess, IgnoredAny, VariantAccess, Visitor},
        Deserialize, Deserializer, Serialize,
    },
    std::{fmt, net::SocketAddr},
};

/// Requests the views of the engines that an entry, or a relay of another zone, watches from a
/// relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The caller.
    pub entry: BoxName,
    /// Whether the caller is a relay, which receives the views that this relay reads from
    /// sidecars itself, not those from other relays. Since wire version 6; missing if false.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_relay: bool,
}

/// The demands of an entry or of another relay, sent to a relay; the demands on other engines are unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayDemands {
    pub entry: BoxName,
    /// Whether this replaces all earlier demands of the entry.
    pub is_whole: bool,
    pub engines: Vec<EngineDemand>,
    /// Whether the sender is a relay, whose demands go to the sidecars directly, not through other
    /// relays. Since wire version 6; missing if false.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_relay: bool,
}

/// An entry's demand on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDemand {
    pub engine: SocketAddr,
    /// `None` if the entry no longer watches the engine.
    pub demand: Option<AdapterDemand>,
    /// Availability zone of the engine. Since wire version 6; missing if unknown, and the relay
    /// then sends the demand to the sidecar directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
}

/// A message of a relay's stream; empty ones are keep-alives.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayUpdate {
    pub news: Vec<EngineUpdate>,
}

/// A relay's update on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    pub engine: SocketAddr,
    /// Time since the relay received it, in ms.
    pub age_ms: u32,
    pub word: EngineViewState,
}

/// A view update from an engine's sidecar, or that the sidecar is unresponsive. Later variants
/// follow the rule of [`ViewUpdate`].
// nearly all states are views, so boxing them would save no memory
#[allow(clippy::large_enum_variant)]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum EngineViewState {
    View(ViewUpdate),
    Silent,
    /// Variant of a later build, which is ignored.
    #[serde(skip)]
    Unknown,
}

#[derive(Deserialize)]
#[serde(field_identifier)]
enum EngineViewStateName {
    View,
    Silent,
    #[serde(other)]
    Unknown,
}

impl<'de> Deserialize<'de> for EngineViewState {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        const NAMES: &[&str] = &["View", "Silent"];
        deserializer.deserialize_enum("EngineWord", NAMES, EngineViewStateVisitor)
    }
}

struct EngineViewStateVisitor;

impl<'de> Visitor<'de> for EngineViewStateVisitor {
    type Value = EngineViewState;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the view state of an engine")
    }
    fn visit_enum<A: EnumAccess<'de>>(self, data: A) -> Result<EngineViewState, A::Error> {
        let (name, content) = data.variant::<EngineViewStateName>()?;
        match name {
            EngineViewStateName::View => content.newtype_variant().map(EngineViewState::View),
            EngineViewStateName::Silent => content.unit_variant().map(|()| EngineViewState::Silent),
            EngineViewStateName::Unknown => {
                content.newtype_variant::<IgnoredAny>()?;
                Ok(EngineViewState::Unknown)
            }
        }
    }
}

// The signature is required by `skip_serializing_if`.
fn is_false(value: &bool) -> bool {
    !value
}
