//! the ingress: clients' HTTP requests on routes of the configuration, sent on
//! to the back ends that the control thread chooses

mod answers;
mod control;
mod exchange;
mod figures_board;
mod follower;
mod observers;
mod operator_pages;
mod serve;
mod service;
mod shared;
mod sidecar_links;

pub use {serve::serve, shared::Shared};
