use {
    chalkcart_coordination::routing::TargetRequirement,
    chalkcart_protocol::peer::{Work, WorkOrder},
    chalkcart_state::ids::{
        AdapterName, ClassName, GroupName, RequestId, ReservedId, VersionNumber,
    },
    chalkcart_transport::clock,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// A validated request of a caller.
#[derive(Debug, Clone)]
pub struct Job {
    pub request_id: RequestId,
    /// Set for a request that must run at most once.
    pub reserved_id: Option<ReservedId>,
    pub group: GroupName,
    pub class: ClassName,
    pub deadline: Instant,
    pub requirement: TargetRequirement,
    pub work: Work,
}

/// A part of a response, to be delivered to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    Token(String),
    Body(Vec<u8>),
    Finished {
        adapter: AdapterName,
        version: VersionNumber,
    },
}

impl Job {
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Returns the message for a sidecar, with the tokens that the caller already has.
    pub fn work_order(
        &self,
        delivered_tokens: &[String],
        permit_issuer: Option<SocketAddr>,
    ) -> WorkOrder {
        let mut work = self.work.clone();
        if let Work::Generate(work) = &mut work {
            work.generated = delivered_tokens.to_vec();
        }
        WorkOrder {
            request: self.request_id.clone(),
            reserved: self.reserved_id.is_some(),
            group: self.group.clone(),
            class: self.class.clone(),
            remaining: self.remaining(),
            work,
            permit_giver: permit_issuer,
        }
    }
}
