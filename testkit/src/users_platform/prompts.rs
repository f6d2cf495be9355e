use {
    super::{request, ClientRequest, ClientResponse, Fleet, MODEL},
    anyhow::Result,
};

/// Returns a request for a prompt on an adapter.
pub fn prompt(adapter: &str, id: &str) -> ClientRequest {
    ClientRequest {
        target: "/stream/".to_string(),
        id: id.to_string(),
        adapter: Some(format!("{MODEL}/{adapter}")),
        ..ClientRequest::default()
    }
}

/// Returns a request whose prompt has these parts.
pub fn prompt_with_parts(mut request: ClientRequest, parts: &[&str]) -> ClientRequest {
    let parts: Vec<String> = parts.iter().map(|id| format!("{id}:40")).collect();
    let header = ("Chalkcart-Prefix-Hash".to_string(), parts.join(","));
    request.headers.push(header);
    request
}

/// Sends a prompt until it is served; a 503 response means that it did not run, so it may be sent
/// again.
pub async fn serve_prompt(fleet: &Fleet, adapter: &str, id: &str) -> Result<ClientResponse> {
    loop {
        let response = request(fleet.clients, &prompt(adapter, id)).await?;
        if response.status != 503 {
            return Ok(response);
        }
    }
}

/// Returns how many times the engines ran a request.
pub fn engine_runs(fleet: &Fleet, id: &str) -> usize {
    let all = fleet.engines.iter().flat_map(|e| e.runs());
    all.filter(|run| run.request == id).count()
}
