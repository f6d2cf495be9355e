use {
    super::control::ControlHandle,
    chalkcart_coordination::dispatch::{DispatchEvent, PermitError, PermitQuery},
    chalkcart_protocol::peer::{path, AdmissionResponse},
    chalkcart_transport::client::{ClientError, PeerClient},
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Handle,
};

/// longest time for a dealer's answer: a permit that comes later is of little use
const ANSWER_LIMIT: Duration = Duration::from_millis(200);

/// asks the sidecars of limited engines how many requests may be sent there
pub struct AdmissionExchange {
    runtime: Handle,
    control: ControlHandle,
    peers: PeerClient,
    /// port at which sidecars listen, on the addresses of their engines
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

    /// ask, and tell the control thread what came of it
    pub fn request_permits(&self, question: PermitQuery) {
        let (peers, control) = (self.peers.clone(), self.control.clone());
        let dealer = SocketAddr::new(question.engine.ip(), self.sidecar_port);
        self.runtime.spawn(async move {
            let PermitQuery {
                report,
                requested_at,
                ..
            } = question;
            let answer =
                peers.call::<_, AdmissionResponse>(dealer, path::INTAKE, &report, ANSWER_LIMIT);
            let answer = answer.await.map_err(|e| no_deal(dealer, &e));
            control.send_event(DispatchEvent::PermitsReceived {
                backend: report.backend,
                requested_at,
                response: answer,
            });
        });
    }
}

fn no_deal(dealer: SocketAddr, e: &ClientError) -> PermitError {
    log::warn!(dealer = dealer.to_string().as_str(), cause = e.to_string().as_str();
        "intake: no answer");
    match e.is_unsupported_by_peer() {
        true => PermitError::Unsupported,
        false => PermitError::NoResponse,
    }
}
