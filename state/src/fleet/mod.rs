//! The fleet's boxes as the platform lists them.

mod fleet_box;
mod fleet_list;

pub use {
    fleet_box::{BoxState, FleetBox, Role},
    fleet_list::FleetList,
};
