//! What is read from other processes: each response is bound in bytes, whatever its sender does.
//!
//! docs/INVARIANTS.md lists the readers with their bounds.

mod blocks;
mod body_error;
mod bulk_reads;
mod byte_meter;
mod declared_end;
mod held_parts;
mod metered_body;
mod metered_connector;
mod metered_socket;
mod sound_head;

pub use {
    blocks::Blocks,
    body_error::{http_end_cause, BodyError},
    bulk_reads::{BulkAllowance, BulkReads},
    byte_meter::{ByteMeter, TooManyBytes},
    declared_end::{DeclaredEnd, HeadScan},
    held_parts::HeldParts,
    metered_body::MeteredBody,
    metered_connector::MeteredConnector,
    metered_socket::MeteredSocket,
    sound_head::{check_head, HeadFault},
};
