use {
    super::{Record, StoreEra, StorePosition},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
};

/// A topic of published records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The ingress configuration and the versions of adapters.
    Configuration,
    Backends,
}

impl Topic {
    /// Returns the value used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Backends => "backends",
        }
    }
}

/// Records of a topic at a position of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    pub records: Vec<Record>,
    pub at: StorePosition,
}

/// The encoded form. Builds before wire version 8 have no eras.
#[derive(Serialize)]
#[serde(rename = "Snapshot")]
struct SnapshotRef<'s> {
    records: &'s [Record],
    at: u64,
    era: StoreEra,
}

#[derive(Deserialize)]
#[serde(rename = "Snapshot")]
struct EncodedSnapshot {
    records: Vec<Record>,
    at: u64,
    #[serde(default)]
    era: StoreEra,
}

impl Serialize for Snapshot {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let encoded = SnapshotRef {
            records: &self.records,
            at: self.at.revision,
            era: self.at.era,
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Snapshot {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = EncodedSnapshot::deserialize(deserializer)?;
        Ok(Self {
            records: encoded.records,
            at: StorePosition::new(encoded.era, encoded.at),
        })
    }
}
