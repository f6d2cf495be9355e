use {
    super::{Ask, DispatchSettings, NoDeal, Ticket},
    crate::own_word::OwnWord,
    chalkcart_protocol::peer::{AdmissionResponse, EngineStats, EngineView},
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
    Asked {
        ticket: Ticket,
        ask: Ask,
    },
    /// a request that waited is gone
    Withdrawn(Ticket),
    /// the first part of an answer came
    Started(Ticket),
    Ended {
        ticket: Ticket,
        outcome: SendOutcome,
    },
    /// a back end said this of itself in the head of an answer
    Said {
        backend: BackendId,
        word: OwnWord,
        /// when the request was sent that it answered
        sent: Instant,
    },
    /// the dealer of an engine's permits has answered a question that was asked then
    Dealt {
        backend: BackendId,
        asked: Instant,
        answer: Result<AdmissionResponse, NoDeal>,
    },
    Listed {
        version: u64,
        list: BackendList,
    },
    Configured(Arc<RouteTable>),
    /// zones whose back ends are to be sent nothing
    Evacuated(HashSet<ZoneName>),
    /// the settings were read again
    Tuned(DispatchSettings),
    /// the sidecar of the engine at this address said this
    Viewed {
        addr: SocketAddr,
        view: EngineView,
    },
    /// nothing but these figures of a view has changed
    Figures {
        backend: BackendId,
        figures: EngineStats,
    },
    ViewLost(BackendId),
    /// whether the sidecar of the engine at this address takes demands
    Demanded {
        addr: SocketAddr,
        is_taken: bool,
    },
    /// an adapter has a new version
    Versioned {
        adapter: AdapterRef,
        version: u64,
    },
    Tick,
}
