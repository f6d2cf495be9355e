//! Tells sidecars which software versions began the streams of this entry, and tells others when
//! those that were told leave, end or start again.

use {
    super::shared::Shared,
    chalkcart_protocol::peer::{StreamOrigin, StreamOriginsRequest, VersionReport},
    chalkcart_state::ids::ServiceName,
    futures::future::join_all,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two checks of what has to be told again.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Most origins in one message.
const MAX_ORIGINS: usize = 256;
/// Questions about versions after a start; later ones come with the first streams.
const MAX_QUESTIONS: u32 = 25;

impl Shared {
    /// Keeps the origin of a stream that has begun, also at sidecars.
    pub fn on_stream_began(self: &Arc<Self>, origin: StreamOrigin) {
        let keep = self.software_versions.memory();
        let request = origin.request.clone();
        self.stream_origins.on_stream_began(origin.clone(), keep);
        for engine in self.stream_origins.due_of(&request) {
            let (shared, origin) = (self.clone(), origin.clone());
            tokio::spawn(async move { shared.tell(engine, vec![origin]).await });
        }
    }

    /// Has the sidecar of an engine keep origins, and tells it what is known of the versions.
    async fn tell(&self, engine: SocketAddr, origins: Vec<StreamOrigin>) {
        let count = origins.len();
        let request = StreamOriginsRequest {
            versions: self.version_reports(&origins),
            kept: origins,
            keep_ms: self.software_versions.memory().as_millis() as u64,
            asked: Vec::new(),
        };
        let (outcome, versions) = self.stream_origins.tell(engine, request).await;
        self.software_versions.on_reports(&versions);
        self.metrics.on_origins_told(outcome, count);
    }

    fn version_reports(&self, origins: &[StreamOrigin]) -> Vec<VersionReport> {
        let services: BTreeSet<&ServiceName> = origins.iter().map(|o| &o.service).collect();
        let reports = services
            .into_iter()
            .filter_map(|service| self.software_versions.report(service));
        reports.collect()
    }

    /// Tells what has to be told, until the process ends.
    pub async fn tell_origins(self: Arc<Self>) {
        let mut questions = 0;
        loop {
            sleep(CHECK_INTERVAL).await;
            let due = self.stream_origins.due();
            let calls = due.into_iter().map(|(engine, mut origins)| {
                origins.truncate(MAX_ORIGINS);
                self.tell(engine, origins)
            });
            join_all(calls).await;
            if questions < MAX_QUESTIONS && self.software_versions.is_knowledge_short() {
                questions += 1;
                let versions = self.stream_origins.ask_versions().await;
                self.software_versions.on_reports(&versions);
            }
        }
    }
}
