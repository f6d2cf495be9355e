use {
    super::{BoxState, FleetBox, Role},
    serde::{Deserialize, Serialize},
};

/// the platform's lagging list of boxes
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// grows with each change of the list
    pub version: u64,
    pub boxes: Vec<FleetBox>,
}

impl FleetList {
    /// entry boxes that are not leaving
    pub fn live_entries(&self) -> impl Iterator<Item = &FleetBox> {
        self.boxes
            .iter()
            .filter(|b| b.role == Role::Entry && b.state == BoxState::Live)
    }
    /// boxes with a sidecar, leaving ones included
    pub fn targets(&self) -> impl Iterator<Item = &FleetBox> {
        self.boxes.iter().filter(|b| b.role != Role::Entry)
    }
}
