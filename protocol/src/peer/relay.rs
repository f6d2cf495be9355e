use {
    super::{AdapterDemand, ViewUpdate},
    chalkcart_state::ids::BoxName,
    serde::{
        de::{EnumAccess, IgnoredAny, VariantAccess, Visitor},
        Deserialize, Deserializer, Serialize,
    },
    std::{fmt, net::SocketAddr},
};

/// an entry asks a relay for the views of the engines that it follows
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    pub entry: BoxName,
}

/// what an entry needs of engines, told to a relay; engines that are not named
/// are needed as before
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayDemands {
    pub entry: BoxName,
    /// this replaces all that the entry said before
    pub is_whole: bool,
    pub engines: Vec<EngineDemand>,
}

/// what an entry needs of one engine
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDemand {
    pub engine: SocketAddr,
    /// none if the entry no longer follows the engine
    pub demand: Option<AdapterDemand>,
}

/// one message of a relay's stream; without news it is a sign of life
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayUpdate {
    pub news: Vec<EngineUpdate>,
}

/// what a relay has heard of one engine
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    pub engine: SocketAddr,
    /// time since the relay heard it, in ms
    pub age_ms: u32,
    pub word: EngineViewState,
}

/// The word of an engine's sidecar, or that it is silent; for variants that come later
/// holds what [`ViewUpdate`] says.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum EngineViewState {
    View(ViewUpdate),
    Silent,
    /// of a later build, passed over
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
        f.write_str("the word of an engine's sidecar")
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
