use {
    chalkcart_state::ids::{ClassName, GroupName},
    prometheus_client::encoding::EncodeLabelSet,
};

/// The group and class of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GroupClass {
    pub group: GroupName,
    pub class: ClassName,
}

/// The outcome and reason of a rejected request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabel {
    pub outcome: String,
    pub reason: String,
}
