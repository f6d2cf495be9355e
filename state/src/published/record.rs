use {
    crate::{
        backends::{AdapterRef, Backend, BackendName},
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
    /// a record that can't be read, by its key
    Unreadable {
        /// it stands in the place of the table
        is_table: bool,
        key: String,
        problem: String,
    },
}
