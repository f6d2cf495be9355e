use {
    chalkcart_protocol::peer::AdmissionReport,
    std::{net::SocketAddr, time::Instant},
};

/// Why a permit issuer sent no permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// Its build doesn't issue permits.
    Unsupported,
    NoResponse,
}

/// A query to the permit issuer beside an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitQuery {
    pub engine: SocketAddr,
    pub report: AdmissionReport,
    pub requested_at: Instant,
}
