//! what the platform says about the boxes of the fleet

mod fleet_box;
mod fleet_list;

pub use {
    fleet_box::{BoxState, FleetBox, Role},
    fleet_list::FleetList,
};
