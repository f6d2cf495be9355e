use {
    super::{
        next_addr,
        node::{Node, NodeOptions},
        ClusterSettings, ServiceSettings,
    },
    crate::{
        engine::{EngineSettings, EngineStandIn},
        forwarder::TcpForwarder,
        platform::PlatformStandIn,
        service::ServiceStandIn,
        store::WeightStore,
    },
    anyhow::{ensure, Result},
    chalkcart_protocol::v1::{
        admin_client::AdminClient, inference_client::InferenceClient, GetStatusRequest,
        WaitInForceRequest,
    },
    chalkcart_state::{fleet::Role, ids::Generation},
    serde_json::{json, Map, Value},
    std::{
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        process,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::sleep,
    tonic::transport::{Channel, Endpoint},
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const IN_FORCE_TIMEOUT_MS: u32 = 30_000;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Engine and the sidecar in its slot.
#[derive(Debug)]
pub struct EngineNode {
    pub engine: EngineStandIn,
    pub sidecar: Node,
}

/// Plain service and the sidecar in its slot.
#[derive(Debug)]
pub struct ServiceNode {
    pub service: ServiceStandIn,
    pub sidecar: Node,
    pub settings: ServiceSettings,
}

/// Entries and sidecars as separate processes, with stand-ins for the rest.
#[derive(Debug)]
pub struct Cluster {
    pub platform: PlatformStandIn,
    pub store: Arc<WeightStore>,
    pub entries: Vec<Node>,
    pub engines: Vec<EngineNode>,
    pub services: Vec<ServiceNode>,
    settings: ClusterSettings,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes and waits until they are ready.
    pub async fn start(settings: ClusterSettings) -> Result<Self> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("chalkcart-{}-{number}", process::id()));
        fs::create_dir_all(&folder)?;
        let mut cluster = Self {
            platform: PlatformStandIn::start(settings.documents.clone()).await?,
            store: Arc::new(WeightStore::new(settings.store.clone())),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            settings,
            folder,
        };
        cluster.start_nodes().await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    async fn start_nodes(&mut self) -> Result<()> {
        for _ in 0..self.settings.entries {
            self.add_entry().await?;
        }
        for engine in self.settings.engines.clone() {
            self.add_engine(engine).await?;
        }
        for service in self.settings.services.clone() {
            self.add_service(service).await?;
        }
        Ok(())
    }

    pub async fn wait_ready(&self) -> Result<()> {
        for node in self.nodes() {
            node.wait_ready().await?;
        }
        let generation = self.platform.documents().root.generation;
        for entry in 0..self.entries.len() {
            self.wait_for_targets(entry).await?;
            self.wait_in_force(entry, generation).await?;
        }
        Ok(())
    }

    /// Waits until an entry knows as many targets as the platform lists.
    pub async fn wait_for_targets(&self, entry: usize) -> Result<()> {
        let listed = self.platform.list().targets().count();
        let mut admin = AdminClient::new(self.channel(entry).await?);
        loop {
            let status = admin.get_status(GetStatusRequest {}).await?.into_inner();
            if status.targets.len() == listed {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a generation is in force on every box.
    pub async fn wait_in_force(&self, entry: usize, generation: Generation) -> Result<()> {
        let mut admin = AdminClient::new(self.channel(entry).await?);
        let req = WaitInForceRequest {
            generation,
            timeout_ms: IN_FORCE_TIMEOUT_MS,
        };
        let response = admin.wait_in_force(req).await?.into_inner();
        ensure!(
            response.in_force,
            "generation {generation} is missing on {:?}",
            response.missing
        );
        Ok(())
    }

    /// Iterates over all processes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let engines = self.engines.iter().map(|e| &e.sidecar);
        let services = self.services.iter().map(|s| &s.sidecar);
        self.entries.iter().chain(engines).chain(services)
    }

    /// Starts another entry and returns its index.
    pub async fn add_entry(&mut self) -> Result<usize> {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let zone = self.zone(index);
        let listen = next_addr();
        let peers: Vec<SocketAddr> = self.entries.iter().map(|e| e.listed_addr).collect();
        let mut settings = object(json!({
            "name": name,
            "zone": zone,
            "listen": listen,
            "platform": self.platform.addr(),
            "peers": peers,
        }));
        settings.extend(self.settings.entry_settings.clone());
        let node = Node::start(NodeOptions {
            name: &name,
            zone: &zone,
            role: Role::Entry,
            listen,
            forwarder: forwarder(self.settings.forward_entries, listen).await?,
            settings,
            folder: &self.folder,
        })?;
        self.platform.add_box(node.list_entry());
        self.entries.push(node);
        Ok(index)
    }

    /// Starts another engine with its sidecar and returns its index.
    pub async fn add_engine(&mut self, settings: EngineSettings) -> Result<usize> {
        let index = self.engines.len();
        let name = format!("engine-{index}");
        let role = Role::Engine {
            base_model: settings.base_model.clone(),
        };
        let engine = EngineStandIn::start(settings, self.store.clone()).await?;
        let target = json!({ "engine": { "addr": engine.addr() } });
        let sidecar = self.start_sidecar(&name, index, role, target).await?;
        self.engines.push(EngineNode { engine, sidecar });
        Ok(index)
    }

    /// Starts another service with its sidecar and returns its index.
    pub async fn add_service(&mut self, settings: ServiceSettings) -> Result<usize> {
        let index = self.services.len();
        let name = format!("service-{index}");
        let role = Role::Service {
            service: settings.name.clone(),
        };
        let service = ServiceStandIn::start(settings.delay).await?;
        let target = service_target(&service, &settings);
        let sidecar = self.start_sidecar(&name, index, role, target).await?;
        self.services.push(ServiceNode {
            service,
            sidecar,
            settings,
        });
        Ok(index)
    }

    /// Starts a new sidecar process in an engine's slot, at a new address, and returns the
    /// previous one, which may still run.
    pub async fn replace_engine_sidecar(&mut self, index: usize) -> Result<Node> {
        let name = self.engines[index].sidecar.name.clone();
        let role = self.engines[index].sidecar.role.clone();
        let addr = self.engines[index].engine.addr();
        let target = json!({ "engine": { "addr": addr } });
        let sidecar = self.start_sidecar(&name, index, role, target).await?;
        Ok(std::mem::replace(&mut self.engines[index].sidecar, sidecar))
    }

    /// Starts a new sidecar process in a service's slot and returns the previous one.
    pub async fn replace_service_sidecar(&mut self, index: usize) -> Result<Node> {
        let node = &self.services[index];
        let name = node.sidecar.name.clone();
        let role = node.sidecar.role.clone();
        let target = service_target(&node.service, &node.settings);
        let sidecar = self.start_sidecar(&name, index, role, target).await?;
        Ok(std::mem::replace(
            &mut self.services[index].sidecar,
            sidecar,
        ))
    }

    /// Returns a client connected to an entry.
    pub async fn client(&self, entry: usize) -> Result<InferenceClient<Channel>> {
        let channel = self.channel(entry).await?;
        Ok(InferenceClient::new(channel))
    }
    pub async fn channel(&self, entry: usize) -> Result<Channel> {
        let addr = self.entries[entry].listen;
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))?;
        Ok(endpoint.connect().await?)
    }

    async fn start_sidecar(
        &self,
        name: &str,
        index: usize,
        role: Role,
        target: Value,
    ) -> Result<Node> {
        let zone = self.zone(index);
        let listen = next_addr();
        let entries: Vec<SocketAddr> = self.entries.iter().map(|e| e.listed_addr).collect();
        let mut settings = object(json!({
            "name": name,
            "zone": zone,
            "listen": listen,
            "entries": entries,
            "target": target,
        }));
        settings.extend(self.settings.sidecar_settings.clone());
        let node = Node::start(NodeOptions {
            name,
            zone: &zone,
            role,
            listen,
            forwarder: forwarder(self.settings.forward_targets, listen).await?,
            settings,
            folder: &self.folder,
        })?;
        self.platform.add_box(node.list_entry());
        Ok(node)
    }

    fn zone(&self, index: usize) -> String {
        self.settings.zones[index % self.settings.zones.len()].clone()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // kept after a failure, for its logs
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

async fn forwarder(is_enabled: bool, listen: SocketAddr) -> Result<Option<TcpForwarder>> {
    match is_enabled {
        true => Ok(Some(TcpForwarder::start(listen, Duration::ZERO).await?)),
        false => Ok(None),
    }
}

fn service_target(service: &ServiceStandIn, settings: &ServiceSettings) -> Value {
    json!({ "service": {
        "addr": service.addr(),
        "service": settings.name,
        "max_running": settings.max_running,
    } })
}

fn object(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(map) => map,
        _ => Map::new(),
    }
}
