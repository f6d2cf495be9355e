use {
    chalkcart_transport::client::HttpClient,
    http::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the revision of the list in use according to a metrics page.
pub(super) fn list_revision(metrics: &str) -> u64 {
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("chalkcart_ingress_list "));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Returns whether the process with this readiness address accepts clients.
pub(super) async fn is_ready(readiness: SocketAddr) -> bool {
    let path = "/chalkcart/ready";
    let response = HttpClient::new()
        .exchange(
            readiness,
            Method::GET,
            path,
            "text/plain",
            Default::default(),
            READY_TIMEOUT,
        )
        .await;
    response.is_ok_and(|(status, _)| status == StatusCode::OK)
}

/// Returns an ingress's metrics page, or an empty string if it is not served.
pub async fn metrics_text(metrics: SocketAddr) -> String {
    let http = HttpClient::new();
    let response = http.exchange(
        metrics,
        Method::GET,
        "/metrics",
        "text/plain",
        Default::default(),
        READY_TIMEOUT,
    );
    let page = response.await.map(|(_, text)| text).unwrap_or_default();
    String::from_utf8_lossy(&page).to_string()
}
