use {
    super::{BoxState, FleetBox, Role},
    serde::{Deserialize, Serialize},
};

/// The platform's list of boxes, which may lag behind the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// Increases with each change of the list.
    pub version: u64,
    pub boxes: Vec<FleetBox>,
}

impl FleetList {
    /// Returns the entry boxes that are not leaving.
    pub fn live_entries(&self) -> impl Iterator<Item = &FleetBox> {
        self.boxes
            .iter()
            .filter(|b| b.role == Role::Entry && b.state == BoxState::Live)
    }
    /// Returns the boxes with a sidecar, including those that are leaving.
    pub fn targets(&self) -> impl Iterator<Item = &FleetBox> {
        self.boxes.iter().filter(|b| b.role != Role::Entry)
    }
}
