use {
    chalkcart_state::ids::{ClassName, GroupName},
    prometheus_client::encoding::EncodeLabelSet,
};

/// whose request it was
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GroupClass {
    pub group: GroupName,
    pub class: ClassName,
}

/// how a request was refused
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabel {
    pub outcome: String,
    pub reason: String,
}
