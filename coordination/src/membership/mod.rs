//! which process plays which part, from the live list alone

mod keeper_choice;
mod parts;
mod rendezvous;

pub use {
    keeper_choice::{KeeperChoice, KeptMatter},
    parts::{permit_giver, watchers, WATCHERS_PER_ZONE},
    rendezvous::{rank_by_rendezvous, rendezvous_weight, stable_hash},
};
