//! Whether a process has more work than its processor and its link carry, and how many requests
//! it reads then, from delays that it measures itself. docs/design/crowded-entry.md has the
//! alternatives.

mod admission_limit;
mod admission_tokens;
mod client_holdings;
mod connect_delay;
mod held_bytes;
mod request_rates;
mod standing_delay;

pub use {
    admission_limit::{AdmissionLimit, AdmissionLimitSettings, LoadSample},
    admission_tokens::AdmissionTokens,
    client_holdings::{
        ClientHoldings, Door, HolderId, HoldingLimits, NoRoom, Stage, WayGiven, CONNECTION_BYTES,
    },
    connect_delay::ConnectDelay,
    held_bytes::{HeldBytes, HeldResponse},
    request_rates::RequestRates,
    standing_delay::StandingDelay,
};
