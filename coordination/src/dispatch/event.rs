use {
    super::{DispatchRequest, DispatchSettings, PermitError, Ticket},
    crate::{backend_signals::BackendSignals, response_end::Framing},
    chalkcart_protocol::peer::{AdmissionResponse, EngineStats, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, BackendId, BackendList},
        ids::ZoneName,
        ingress::RouteTable,
        published::StorePosition,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Instant},
};

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The response is complete.
    Answered,
    /// The response is complete unless its engine crashed: it ended with its connection.
    Closed,
    /// The back end was full and didn't run it.
    Shed,
    /// The back end lacks the adapter, or has another version of it.
    Misdirected,
    /// Another incarnation responded at its address.
    Superseded,
    /// The request never reached the back end.
    Unreachable,
    /// The back end failed, or its response was invalid.
    Failed,
    /// The connection closed before the response was complete.
    Broken,
    /// The connection was reset before a response began; the back end may still read the request.
    Reset,
    /// The client disconnected, or its deadline passed.
    Abandoned,
}

impl SendOutcome {
    /// Returns the outcome of a complete response with this framing.
    pub fn of_complete(framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunks => Self::Answered,
            Framing::Connection => Self::Closed,
        }
    }

    /// Returns whether this incarnation of the back end has responded to the request.
    pub fn shows_life(self) -> bool {
        matches!(self, Self::Answered | Self::Closed | Self::Shed)
    }

    /// Returns the code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Closed => "closed",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Superseded => "superseded",
            Self::Unreachable => "unreachable",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Reset => "reset",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Input of the dispatcher.
#[derive(Debug)]
pub enum DispatchEvent {
    /// A request needs a back end.
    RequestArrived {
        ticket: Ticket,
        request: DispatchRequest,
    },
    /// A waiting request was cancelled.
    RequestWithdrawn(Ticket),
    /// The head of a successful response arrived: the back end has begun to write it.
    HeadReceived(Ticket),
    /// The first part of a response arrived.
    ResponseStarted(Ticket),
    SendEnded {
        ticket: Ticket,
        outcome: SendOutcome,
    },
    /// A back end sent signals about itself in a response head.
    SignalReceived {
        backend: BackendId,
        signal: BackendSignals,
        /// When the request of that response was sent.
        sent_at: Instant,
    },
    /// The permit issuer of an engine responded, or failed to, to a query sent at
    /// `requested_at`.
    PermitsReceived {
        backend: BackendId,
        requested_at: Instant,
        response: Result<AdmissionResponse, PermitError>,
    },
    ListUpdated {
        /// The position of the store at which the list was read.
        at: StorePosition,
        list: BackendList,
    },
    /// The list of back ends can be read again, or no longer.
    ListSourceChanged {
        is_available: bool,
    },
    ConfigUpdated(Arc<RouteTable>),
    /// The zones whose back ends receive no requests.
    ZonesEvacuated(HashSet<ZoneName>),
    /// The settings were reloaded.
    SettingsUpdated(DispatchSettings),
    /// The sidecar of the engine at this address sent a view.
    ViewReceived {
        addr: SocketAddr,
        view: EngineView,
    },
    /// Only these stats of a view changed.
    StatsReceived {
        backend: BackendId,
        stats: EngineStats,
    },
    /// The link to the sidecar of an engine was lost.
    ViewLost(BackendId),
    /// A demand was sent to the sidecar of the engine at this address, and reached it if
    /// `is_accepted`.
    DemandSent {
        addr: SocketAddr,
        is_accepted: bool,
    },
    /// An adapter has a new version.
    VersionAnnounced {
        adapter: AdapterRef,
        version: u64,
    },
    /// An adapter has a version that was announced at an unknown time before this process learned
    /// of any.
    VersionFound {
        adapter: AdapterRef,
        version: u64,
    },
    Tick,
}

impl DispatchEvent {
    /// Returns the code in logs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::RequestArrived { .. } => "request",
            Self::RequestWithdrawn(_) => "withdrawn",
            Self::HeadReceived(_) => "head",
            Self::ResponseStarted(_) => "started",
            Self::SendEnded { .. } => "ended",
            Self::SignalReceived { .. } => "signal",
            Self::PermitsReceived { .. } => "permits",
            Self::ListUpdated { .. } => "list",
            Self::ListSourceChanged { .. } => "list source",
            Self::ConfigUpdated(_) => "configuration",
            Self::ZonesEvacuated(_) => "zones",
            Self::SettingsUpdated(_) => "settings",
            Self::ViewReceived { .. } => "view",
            Self::StatsReceived { .. } => "stats",
            Self::ViewLost(_) => "view lost",
            Self::DemandSent { .. } => "demand sent",
            Self::VersionAnnounced { .. } => "version",
            Self::VersionFound { .. } => "version found",
            Self::Tick => "tick",
        }
    }
}
