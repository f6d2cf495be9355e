use {
    crate::{
        backends::{AdapterRef, Backend, BackendName},
        ids::ZoneName,
        ingress::RouteTable,
    },
    serde::{Deserialize, Serialize},
};

/// one thing that was published
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Table(Box<RouteTable>),
    AdapterVersion {
        adapter: AdapterRef,
        version: u64,
    },
    Backend(Backend),
    BackendGone(BackendName),
    /// whether operators want the back ends of a zone to be sent nothing
    Zone {
        zone: ZoneName,
        is_evacuated: bool,
    },
    /// a record that can't be read, by its key; it may be another writer's
    Unreadable {
        subject: RecordSubject,
        key: String,
        cause: UnreadableCause,
        problem: String,
    },
}

/// in whose place a record stands that can't be read
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordSubject {
    Table,
    /// it names no back end to use, also where it named one before
    Backend(BackendName),
    Other,
}

/// why a record can't be read
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnreadableCause {
    /// what the store says of it has no key, or other types
    Item,
    /// its value is not written as the store writes values
    Encoding,
    /// fields are missing or of another type, or it is no document
    Fields,
}

impl UnreadableCause {
    /// the word in logs and metrics
    pub fn code(self) -> &'static str {
        match self {
            Self::Item => "item",
            Self::Encoding => "encoding",
            Self::Fields => "fields",
        }
    }
}
