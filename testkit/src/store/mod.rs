//! Stand-in for the rate-limited weight store.

mod weight_store;

pub use weight_store::{StoreSettings, WeightStore};
