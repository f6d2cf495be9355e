use {
    crate::{
        backends::{AdapterRef, Backend, BackendName},
        ids::ZoneName,
        ingress::RouteTable,
    },
    serde::{Deserialize, Serialize},
};

/// A record of the platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Table(Box<RouteTable>),
    AdapterVersion {
        adapter: AdapterRef,
        version: u64,
    },
    Backend(Backend),
    BackendGone(BackendName),
    /// Whether operators have evacuated a zone, whose back ends then receive no requests.
    Zone {
        zone: ZoneName,
        is_evacuated: bool,
    },
    /// A record that cannot be parsed; it may belong to another writer.
    Unreadable {
        subject: RecordSubject,
        key: String,
        cause: UnreadableCause,
        problem: String,
    },
}

impl Record {
    /// Returns whether this is a later version than another record of the same key. A restored store
    /// may have the earlier one.
    pub fn is_later_version_of(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Table(table), Self::Table(other)) => table.generation > other.generation,
            (Self::AdapterVersion { version, .. }, Self::AdapterVersion { version: other, .. }) => {
                version > other
            }
            _ => false,
        }
    }
}

/// The subject of an unreadable record, by its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordSubject {
    Table,
    /// The back end must not be used, even if an earlier record of it was readable.
    Backend(BackendName),
    Other,
}

/// Why a record cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnreadableCause {
    /// The store's item has no key, or fields of unexpected types.
    Item,
    /// The value is not encoded as the store encodes values.
    Encoding,
    /// The value is not a document, or fields are missing or of another type.
    Fields,
}

impl UnreadableCause {
    /// Returns the value used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Item => "item",
            Self::Encoding => "encoding",
            Self::Fields => "fields",
        }
    }
}
