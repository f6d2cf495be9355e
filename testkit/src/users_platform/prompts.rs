use {
    super::{request, ClientRequest, ClientResponse, Fleet, MODEL},
    anyhow::Result,
};

/// a prompt on an adapter
pub fn prompt(adapter: &str, id: &str) -> ClientRequest {
    ClientRequest {
        target: "/stream/".to_string(),
        id: id.to_string(),
        adapter: Some(format!("{MODEL}/{adapter}")),
        ..ClientRequest::default()
    }
}

/// ask until it is served; refusals say that nothing ran
pub async fn serve_prompt(fleet: &Fleet, adapter: &str, id: &str) -> Result<ClientResponse> {
    loop {
        let answer = request(fleet.clients, &prompt(adapter, id)).await?;
        if answer.status != 503 {
            return Ok(answer);
        }
    }
}

/// how often engines ran a request
pub fn engine_runs(fleet: &Fleet, id: &str) -> usize {
    let all = fleet.engines.iter().flat_map(|e| e.runs());
    all.filter(|run| run.request == id).count()
}
