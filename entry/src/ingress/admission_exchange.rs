use {
    super::control::ControlHandle,
    chalkcart_coordination::dispatch::{DispatchEvent, PermitError, PermitQuery},
    chalkcart_protocol::peer::{path, AdmissionResponse},
    chalkcart_transport::client::{ClientError, PeerClient},
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Handle,
};

/// A permit that arrives later is of little use.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Requests permits to send to rate-limited engines from the sidecars that issue them.
pub struct AdmissionExchange {
    runtime: Handle,
    control: ControlHandle,
    peers: PeerClient,
    /// Sidecars listen on this port at the addresses of their engines.
    sidecar_port: u16,
}

impl AdmissionExchange {
    pub fn new(runtime: Handle, control: ControlHandle, sidecar_port: u16) -> Self {
        Self {
            runtime,
            control,
            peers: PeerClient::new(),
            sidecar_port,
        }
    }

    /// Sends the query in the background and reports the result to the control thread.
    pub fn request_permits(&self, query: PermitQuery) {
        let (peers, control) = (self.peers.clone(), self.control.clone());
        let issuer = SocketAddr::new(query.engine.ip(), self.sidecar_port);
        self.runtime.spawn(async move {
            let PermitQuery {
                report,
                requested_at,
                ..
            } = query;
            let call =
                peers.call::<_, AdmissionResponse>(issuer, path::INTAKE, &report, RESPONSE_TIMEOUT);
            let response = call.await.map_err(|e| permit_error(issuer, &e));
            control.send_event(DispatchEvent::PermitsReceived {
                backend: report.backend,
                requested_at,
                response,
            });
        });
    }
}

fn permit_error(issuer: SocketAddr, e: &ClientError) -> PermitError {
    log::warn!(dealer = issuer.to_string().as_str(), cause = e.to_string().as_str();
        "intake: permit request failed");
    match e.is_unsupported_by_peer() {
        true => PermitError::Unsupported,
        false => PermitError::NoResponse,
    }
}
