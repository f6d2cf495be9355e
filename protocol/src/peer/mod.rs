//! Messages between entries and sidecars.

mod admission;
mod cancel;
mod crashes;
mod frame;
mod permit;
mod placement;
mod published;
mod refusal;
mod relay;
mod report;
mod reserve;
mod stream_origins;
mod sync;
mod usage;
mod work;

/// HTTP paths to which the messages are posted.
pub mod path {
    pub const RUN: &str = "/peer/run";
    pub const RESUME: &str = "/peer/resume";
    pub const RESERVE: &str = "/peer/reserve";
    pub const CANCEL: &str = "/peer/cancel";
    pub const REPORT: &str = "/peer/report";
    pub const SYNC: &str = "/peer/sync";
    pub const SHARD: &str = "/peer/shard";
    pub const PERMIT: &str = "/peer/permit";
    pub const DEMAND: &str = "/peer/demand";
    pub const VIEWS: &str = "/peer/views";
    pub const RELAY_VIEWS: &str = "/peer/relay/views";
    pub const RELAY_DEMANDS: &str = "/peer/relay/demands";
    pub const RELAY_PUBLISHED: &str = "/peer/relay/published";
    pub const USAGE: &str = "/peer/usage";
    pub const CRASHES: &str = "/peer/crashes";
    pub const INTAKE: &str = "/peer/intake";
    pub const STREAM_ORIGINS: &str = "/peer/stream-origins";
}

pub use {
    admission::{AdmissionReport, AdmissionResponse, ObservedLimit},
    cancel::{CancelAnswer, CancelOrder},
    crashes::{CrashCursor, CrashEvent, CrashReport, CrashRequest, CrashResponse},
    frame::{Frame, FrameBody},
    permit::{PermitPurpose, PermitRequest, PermitResponse},
    placement::{
        AdapterDemand, AdapterUse, EngineCapacity, EngineStats, EngineView, KnownEntries,
        ModelSize, ViewChange, ViewUpdate, WantedAdapter,
    },
    published::{PublishedRequest, PublishedResponse},
    refusal::{Outcome, Reason, Refusal, Step},
    relay::{EngineDemand, EngineUpdate, EngineViewState, RelayDemands, RelayRequest, RelayUpdate},
    report::{LoadedAdapter, TargetReport},
    reserve::{ReserveAnswer, ReserveOrder},
    stream_origins::{
        ListedVersion, StreamOrigin, StreamOriginsRequest, StreamOriginsResponse, VersionReport,
    },
    sync::{ShardRequest, ShardResponse, SyncRequest, SyncResponse},
    usage::{AccountLevel, AccountUsage, UsageReport, UsageResponse},
    work::{CallWork, GenerateWork, ResumeOrder, Work, WorkOrder},
};
