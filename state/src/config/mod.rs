//! The configuration that operators publish: its documents and their validation, the index
//! built from them, and the documents that a change produces.

mod adapter;
mod change;
mod class;
mod configuration;
mod digest;
mod errors;
mod group;
mod policy;
mod root;
mod service;
mod shard;
mod shard_table;

pub use {
    adapter::{Adapter, AdapterVersion},
    change::{Change, ChangedDocuments, Document},
    class::Class,
    configuration::{Configuration, ResolvedAdapter},
    digest::{digest_of, shard_index},
    errors::ConfigError,
    group::Group,
    policy::Policy,
    root::Root,
    service::Service,
    shard::{shard_key, Shard, ROOT_KEY},
    shard_table::{AdapterRow, ShardTable},
};
