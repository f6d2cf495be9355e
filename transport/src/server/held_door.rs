use {
    crate::{
        clients::{HeldRequest, Holdings},
        ingress::max_connections,
    },
    chalkcart_coordination::overload::{Door, HoldingLimits, CONNECTION_BYTES},
    gotham::state::StateData,
    std::{
        panic::{RefUnwindSafe, UnwindSafe},
        sync::Arc,
    },
};

/// A listening socket of a process, and what all clients of that process hold.
#[derive(Debug, Clone)]
pub struct HeldDoor {
    pub holdings: Arc<Holdings>,
    pub door: Door,
}

impl HeldDoor {
    /// Returns the only door of a process whose clients may hold so many bytes, with as many places
    /// as these and the descriptors allow.
    pub fn only(client_bytes: usize) -> Self {
        let by_memory = (client_bytes / CONNECTION_BYTES).max(1);
        Self {
            holdings: Holdings::new(HoldingLimits::of_bytes(client_bytes)),
            door: Door {
                name: "all",
                places: max_connections().min(by_memory),
            },
        }
    }
}

impl Default for HeldDoor {
    /// A door without bounds, for stand-ins.
    fn default() -> Self {
        Self {
            holdings: Holdings::new(HoldingLimits::of_bytes(usize::MAX / 4)),
            door: Door {
                name: "any",
                places: usize::MAX,
            },
        }
    }
}

impl StateData for HeldRequest {}
// its state is behind a lock that remains usable after a panic of its holder
impl UnwindSafe for HeldRequest {}
impl RefUnwindSafe for HeldRequest {}
