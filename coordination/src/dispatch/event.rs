use {
    super::{DispatchRequest, DispatchSettings, PermitError, Ticket},
    crate::own_word::OwnWord,
    chalkcart_protocol::peer::{EngineFigures, EngineView, IntakeAnswer},
    chalkcart_state::{
        backends::{AdapterRef, BackendId, BackendList},
        ids::ZoneName,
        ingress::RouteTable,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Instant},
};

/// how a send ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// answered whole
    Answered,
    /// the back end said that it did not run it, being full
    Shed,
    /// it lacks the adapter, or has another version of it
    Misdirected,
    /// another incarnation answers at its address
    Superseded,
    /// never reached it
    Unreachable,
    /// it failed, or its answer was spoilt
    Failed,
    /// the connection ended before the answer did
    Broken,
    /// the client left, or its time ran out
    Abandoned,
}

impl SendOutcome {
    /// the word in logs and metrics
    pub fn code(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Superseded => "superseded",
            Self::Unreachable => "unreachable",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// what happens to the dispatcher
#[derive(Debug)]
pub enum DispatchEvent {
    /// a request needs a back end
    RequestArrived {
        ticket: Ticket,
        request: DispatchRequest,
    },
    /// a request that waited is gone
    RequestWithdrawn(Ticket),
    /// the first part of an answer came
    ResponseStarted(Ticket),
    SendEnded {
        ticket: Ticket,
        outcome: SendOutcome,
    },
    /// a back end said this of itself in the head of an answer
    SignalReceived {
        backend: BackendId,
        signal: OwnWord,
        /// when the request was sent that it answered
        sent_at: Instant,
    },
    /// the dealer of an engine's permits has answered a question that was asked then
    PermitsReceived {
        backend: BackendId,
        requested_at: Instant,
        response: Result<IntakeAnswer, PermitError>,
    },
    ListUpdated {
        version: u64,
        list: BackendList,
    },
    ConfigUpdated(Arc<RouteTable>),
    /// zones whose back ends are to be sent nothing
    ZonesEvacuated(HashSet<ZoneName>),
    /// the settings were read again
    SettingsUpdated(DispatchSettings),
    /// the sidecar of the engine at this address said this
    ViewReceived {
        addr: SocketAddr,
        view: EngineView,
    },
    /// nothing but these figures of a view has changed
    StatsReceived {
        backend: BackendId,
        stats: EngineFigures,
    },
    ViewLost(BackendId),
    /// whether the sidecar of the engine at this address takes demands
    DemandSent {
        addr: SocketAddr,
        is_accepted: bool,
    },
    /// an adapter has a new version
    VersionAnnounced {
        adapter: AdapterRef,
        version: u64,
    },
    Tick,
}
