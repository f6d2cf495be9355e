use {
    chalkcart_state::ids::{
        AdapterName, BaseModelName, ClassName, GroupName, RequestId, Sequence, ServiceName,
        VersionNumber, WeightsDigest,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// a prompt for an engine, its adapter and version resolved by the entry
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateWork {
    pub adapter: AdapterName,
    pub version: VersionNumber,
    pub digest: WeightsDigest,
    pub base_model: BaseModelName,
    pub prompt: String,
    pub max_tokens: u32,
    /// tokens that an earlier run of the same request gave already
    pub generated: Vec<String>,
}

/// a call for a plain service
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallWork {
    pub service: ServiceName,
    pub body: Vec<u8>,
}

/// what a target is to do
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    Generate(GenerateWork),
    Call(CallWork),
}

impl Work {
    /// its cost in the queue, in tokens
    pub fn tokens(&self) -> u64 {
        let prompt = match self {
            Self::Generate(work) => work.prompt.split_whitespace().count(),
            Self::Call(_) => 0,
        };
        (prompt as u64 + u64::from(self.output_tokens())).max(1)
    }

    /// tokens that it may still generate; a call counts as one
    pub fn output_tokens(&self) -> u32 {
        match self {
            Self::Generate(work) => {
                let had = u32::try_from(work.generated.len()).unwrap_or(u32::MAX);
                work.max_tokens.saturating_sub(had)
            }
            Self::Call(_) => 1,
        }
    }
}

/// one request on its way from an entry to a sidecar
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrder {
    pub request: RequestId,
    /// the request id is a reserved one, to be run at most once
    pub reserved: bool,
    pub group: GroupName,
    pub class: ClassName,
    /// time left to the caller's deadline when the order was sent
    pub remaining: Duration,
    pub work: Work,
    /// which entry gives load permits, as the sending entry sees it
    pub permit_giver: Option<SocketAddr>,
}

/// asks for the rest of a stream
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeOrder {
    pub request: RequestId,
    /// the first frame that was not received
    pub from: Sequence,
}
