use {
    super::{
        backend_stand_in::HEALTH_PATH,
        engine_orders::{ADAPTER_SLOTS, MODEL},
        entry_pages::{is_ready, list_revision, metrics_text},
        other_ingress::OtherIngress,
        BackendKind, BackendStandIn, StoreStandIn,
    },
    crate::{
        cluster::{next_addr, Binaries, Process},
        forwarder::{SharedLink, TcpForwarder},
        waiting::until_async,
    },
    anyhow::Result,
    serde_json::{json, Value},
    std::{
        collections::HashMap,
        fs,
        net::{IpAddr, SocketAddr},
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::net::TcpStream,
};

pub const HOST: &str = "host.example";
const ENGINE_SERVICE: &str = "engines";
const PLAIN_SERVICE: &str = "plain";
/// Port of the metrics page of an entry with the platform's settings.
const PLATFORM_METRICS_PORT: u16 = 9464;
/// Last octet of the first engine's address.
const FIRST_ENGINE_HOST: u8 = 10;

#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Zones with their regions: the ingress is in the first one, the back ends of each kind are
    /// distributed round-robin.
    pub zones: Vec<(&'static str, &'static str)>,
    pub engines: u8,
    pub plain: u8,
    /// Whether a configuration is published before the start.
    pub should_publish_config: bool,
    pub timeout_ms: u64,
    pub grace_s: f64,
    /// Maximum number of engines for a stream; streams may be resumed if it is more than 1.
    pub stream_attempts: u32,
    /// Number of engines from which on the ingress uses a relay.
    pub relays_from_engines: usize,
    /// Number of watched engines from which on relays use those of other zones; `None` for the
    /// default.
    pub zone_relays_from_engines: Option<usize>,
    /// Maximum time for which a revoked key is accepted, in ms.
    pub revoke_ms: Option<u64>,
    /// Whether the ingress reaches the store through a forwarder that can inject faults.
    pub has_store_forwarder: bool,
    /// Mbit/s of the link of the first ingress, for its clients and the store; `None` without a
    /// limit.
    pub ingress_link_mbps: Option<f64>,
    /// Whether back ends are reached through that link as well, by all ingresses.
    pub are_backends_behind_link: bool,
    /// Whether each plain back end is reached through a forwarder that can inject faults.
    pub has_plain_forwarders: bool,
    /// Whether the sidecars get the address of the store; otherwise nothing listens at theirs.
    pub can_sidecars_reach_store: bool,
    /// Memory of each machine in MiB, as the platform's settings tell it; `None` leaves it out.
    pub memory_mib: Option<u64>,
    /// Descriptors that each process may have open; `None` for those of this process.
    pub descriptors: Option<u64>,
    /// Programs to start instead of those of this build.
    pub entry_program: Option<PathBuf>,
    pub sidecar_program: Option<PathBuf>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            zones: vec![("z", "r")],
            engines: 0,
            plain: 1,
            should_publish_config: true,
            timeout_ms: 8_000,
            grace_s: 6.0,
            stream_attempts: 1,
            relays_from_engines: usize::MAX,
            zone_relays_from_engines: None,
            revoke_ms: None,
            has_store_forwarder: false,
            ingress_link_mbps: None,
            are_backends_behind_link: false,
            has_plain_forwarders: false,
            can_sidecars_reach_store: true,
            memory_mib: None,
            descriptors: None,
            entry_program: None,
            sidecar_program: None,
        }
    }
}

/// An ingress, the sidecars of its engines, and stand-ins for the rest.
pub struct Fleet {
    pub store: StoreStandIn,
    pub store_forwarder: Option<TcpForwarder>,
    /// Before the ingress, if its link is limited.
    pub client_forwarder: Option<TcpForwarder>,
    link: Option<Arc<SharedLink>>,
    /// Before each back end, by its address.
    backend_forwarders: HashMap<SocketAddr, TcpForwarder>,
    pub engines: Vec<BackendStandIn>,
    pub plain: Vec<BackendStandIn>,
    pub ingress: Process,
    pub sidecars: Vec<Process>,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub settings_file: PathBuf,
    pub log_file: PathBuf,
    settings: FleetSettings,
    sidecar_port: u16,
    version: u64,
}

impl Fleet {
    /// Starts all processes and waits until the sidecars listen and the ingress is ready.
    pub async fn start(settings: FleetSettings) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!(
            "chalkcart-{}-{}",
            std::process::id(),
            next_addr().port()
        ));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self::start_processes(settings, folder).await?;
        for number in 0..fleet.settings.engines {
            fleet.start_engine(number).await?;
        }
        fleet.wait_for_sidecars().await;
        for number in 0..fleet.settings.plain {
            let id = format!("p-{number}");
            let backend = BackendStandIn::start(&id, BackendKind::Plain, next_addr()).await?;
            let addr = backend.addr;
            fleet.plain.push(backend);
            fleet.start_backend_forwarder(addr).await?;
            if fleet.settings.has_plain_forwarders {
                let forwarder = TcpForwarder::start(addr, Duration::ZERO).await?;
                fleet.backend_forwarders.insert(addr, forwarder);
            }
            fleet.publish_backend(PLAIN_SERVICE, fleet.plain.len() - 1, "ready");
        }
        if fleet.settings.should_publish_config {
            fleet.configure(|_| {});
            fleet.wait_ready().await;
        }
        Ok(fleet)
    }

    async fn start_processes(settings: FleetSettings, folder: PathBuf) -> Result<Self> {
        let store = StoreStandIn::start().await?;
        let link = settings.ingress_link_mbps.map(SharedLink::with_mbps);
        let link = link.map(Arc::new);
        let store_forwarder = match (&link, settings.has_store_forwarder) {
            (Some(link), _) => {
                Some(TcpForwarder::start_on_link(store.addr, link.clone(), false).await?)
            }
            (None, true) => Some(TcpForwarder::start(store.addr, Duration::ZERO).await?),
            (None, false) => None,
        };
        let store_addr = store_forwarder.as_ref().map_or(store.addr, |f| f.addr);
        let (clients, readiness, mut metrics) = (next_addr(), next_addr(), next_addr());
        let client_forwarder = match &link {
            Some(link) => Some(TcpForwarder::start_on_link(clients, link.clone(), true).await?),
            None => None,
        };
        let sidecar_port = next_addr().port();
        let settings_file = folder.join("ingress.json");
        let mut document = json!({
            "name": "front-1", "zone": settings.zones[0].0, "clients": clients, "readiness": readiness,
            "metrics": metrics, "store": store_addr, "sidecar_port": sidecar_port,
            "grace_s": settings.grace_s, "retry_ratio": 0.2, "retry_extra": 50,
            "retry_window_s": 10, "version_ms": 5000,
            "drain_ms": 2000, "store_reads_per_s": 2000,
            "relays_from_engines": settings.relays_from_engines,
        });
        // older builds reject this key as unknown
        if settings.entry_program.is_none() {
            document["first_start"] = json!(true);
        }
        if settings.zones.len() > 1 {
            let regions: HashMap<&str, &str> = settings.zones.iter().copied().collect();
            document["regions"] = json!(regions);
        }
        if let Some(revoke_ms) = settings.revoke_ms {
            document["revoke_ms"] = json!(revoke_ms);
        }
        if let Some(mib) = settings.memory_mib {
            document = in_platform_form(&document, mib);
            metrics.set_port(PLATFORM_METRICS_PORT);
        }
        fs::write(&settings_file, document.to_string())?;
        let log_file = folder.join("ingress.log");
        let file = settings_file.display().to_string();
        let program = entry_program(&settings)?;
        let ingress = spawn(&settings, &program, &["ingress", &file], &log_file)?;
        Ok(Self {
            store,
            store_forwarder,
            client_forwarder,
            link,
            backend_forwarders: HashMap::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            ingress,
            sidecars: Vec::new(),
            clients,
            readiness,
            metrics,
            settings_file,
            log_file,
            settings,
            sidecar_port,
            version: 0,
        })
    }

    async fn start_engine(&mut self, number: u8) -> Result<()> {
        self.add_engine(number).await?;
        self.publish_backend(ENGINE_SERVICE, usize::from(number), "ready");
        Ok(())
    }

    /// Starts the next engine with its sidecar, without a record in the store.
    pub async fn add_engine(&mut self, number: u8) -> Result<()> {
        let addr = with_host(next_addr(), FIRST_ENGINE_HOST + number);
        let id = format!("e-{number}");
        let engine = BackendStandIn::start(&id, BackendKind::Engine, addr).await?;
        self.engines.push(engine);
        self.start_backend_forwarder(addr).await?;
        let sidecar = self.start_sidecar(number)?;
        self.sidecars.push(sidecar);
        Ok(())
    }

    async fn start_backend_forwarder(&mut self, backend: SocketAddr) -> Result<()> {
        let link = self.link.clone();
        if let Some(link) = link.filter(|_| self.settings.are_backends_behind_link) {
            let forwarder = TcpForwarder::start_on_link(backend, link, false).await?;
            self.backend_forwarders.insert(backend, forwarder);
        }
        Ok(())
    }

    /// Waits until all sidecars listen.
    pub async fn wait_for_sidecars(&self) {
        for number in 0..self.engines.len() {
            let addr = self.sidecar_addr(number);
            let is_listening = || async { TcpStream::connect(addr).await.is_ok() };
            until_async("the sidecar listens", is_listening).await;
        }
    }

    /// Starts an additional ingress in the first zone.
    pub async fn start_other_ingress(&self, name: &str) -> Result<OtherIngress> {
        let zone = self.settings.zones[0].0;
        self.start_other_ingress_in_zone(name, zone).await
    }
    /// Starts an additional ingress in a zone.
    pub async fn start_other_ingress_in_zone(
        &self,
        name: &str,
        zone: &str,
    ) -> Result<OtherIngress> {
        let mut document: Value = serde_json::from_slice(&fs::read(&self.settings_file)?)?;
        if self.settings.ingress_link_mbps.is_some() {
            document["store"] = json!(self.store.addr);
        }
        document["zone"] = json!(zone);
        let folder = self.settings_file.with_file_name("");
        let program = entry_program(&self.settings)?;
        OtherIngress::start(&folder, name, document, &program, Vec::new()).await
    }
    /// Starts an additional ingress in the first zone that reaches each sidecar through a
    /// forwarder of its own, in the order of the engines.
    pub async fn start_linked_ingress(&self, name: &str) -> Result<OtherIngress> {
        let mut document: Value = serde_json::from_slice(&fs::read(&self.settings_file)?)?;
        let port = next_addr().port();
        document["sidecar_port"] = json!(port);
        let mut links = Vec::new();
        for number in 0..self.engines.len() {
            let sidecar = self.sidecar_addr(number);
            let addr = SocketAddr::new(sidecar.ip(), port);
            links.push(TcpForwarder::start_at(addr, sidecar).await?);
        }
        let folder = self.settings_file.with_file_name("");
        let program = entry_program(&self.settings)?;
        OtherIngress::start(&folder, name, document, &program, links).await
    }
    /// Returns the forwarder before a back end, if it has one.
    pub fn backend_forwarder(&self, backend: &BackendStandIn) -> Option<&TcpForwarder> {
        self.backend_forwarders.get(&backend.addr)
    }

    /// Restarts the ingress with `first_start` off, as the platform does after an exit.
    pub fn restart_ingress(&mut self) -> Result<()> {
        set_restarted(&self.settings_file, self.settings.entry_program.is_some())?;
        self.start_ingress()
    }
    /// Does the same with another ingress.
    pub fn restart_other(&self, ingress: &mut OtherIngress) -> Result<()> {
        set_restarted(
            &ingress.settings_file,
            self.settings.entry_program.is_some(),
        )?;
        ingress.spawn(&entry_program(&self.settings)?)
    }
    /// Starts the ingress with the current settings file.
    pub fn start_ingress(&mut self) -> Result<()> {
        let file = self.settings_file.display().to_string();
        let program = entry_program(&self.settings)?;
        let args = ["ingress", &file];
        self.ingress = spawn(&self.settings, &program, &args, &self.log_file)?;
        Ok(())
    }
    /// Sets the programs of processes started from now on; `None` selects those of this build.
    pub fn set_programs(&mut self, entry: Option<PathBuf>, sidecar: Option<PathBuf>) {
        self.settings.entry_program = entry;
        self.settings.sidecar_program = sidecar;
    }
    /// Returns the address on which the sidecar of an engine listens.
    pub fn sidecar_addr(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.engines[number].addr.ip(), self.sidecar_port)
    }
    pub fn start_sidecar(&self, number: u8) -> Result<Process> {
        let engine = self.engines[usize::from(number)].addr;
        let listen = self.sidecar_addr(usize::from(number));
        let store = match self.settings.can_sidecars_reach_store {
            true => self.store.addr,
            false => next_addr(),
        };
        let mut document = json!({
            "name": format!("side-{number}"), "listen": listen, "engine": engine,
            "store": store,
        });
        if let Some(engines) = self.settings.zone_relays_from_engines {
            document["zone_relays_from_engines"] = json!(engines);
        }
        if let Some(mib) = self.settings.memory_mib {
            document = sidecar_in_platform_form(&document, mib);
        }
        let file = self
            .settings_file
            .with_file_name(format!("side-{number}.json"));
        fs::write(&file, document.to_string())?;
        let log = file.with_extension("log");
        let file = file.display().to_string();
        let program = match &self.settings.sidecar_program {
            Some(program) => program.clone(),
            None => Binaries::get()?.sidecar,
        };
        spawn(&self.settings, &program, &["--place", &file], &log)
    }

    /// Writes the record of an engine or a plain back end to the store.
    pub fn publish_backend(&self, service: &str, number: usize, state: &str) {
        let backend = match service {
            ENGINE_SERVICE => &self.engines[number],
            _ => &self.plain[number],
        };
        let forwarder = self.backend_forwarders.get(&backend.addr);
        let addr = forwarder.map_or(backend.addr, |forwarder| forwarder.addr);
        let zones = &self.settings.zones;
        let zone = zones[number % zones.len()].0;
        let record = json!({
            "Service": service, "Address": addr, "Zone": zone,
            "Version": backend.state().software_version,
            "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": 1,
            "born": backend.state().start_time_ms,
            "Models": [{"Name": MODEL, "Version": 1, "Adapters": []}],
        });
        self.store.put(&format!("servers/{}", backend.id()), record);
    }
    pub fn publish_engine(&self, number: usize, state: &str) {
        self.publish_backend(ENGINE_SERVICE, number, state);
    }
    pub fn publish_plain(&self, number: usize, state: &str) {
        self.publish_backend(PLAIN_SERVICE, number, state);
    }

    /// Publishes the next configuration with a change applied to the default one.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) {
        self.version += 1;
        let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
                "TimeoutMs": self.settings.timeout_ms, "TargetLatencyMs": 1500, "Priority": 1,
                "Service": service, "MaxAttempts": attempts, "Resumable": kind == "stream" && attempts > 1,
            })
        };
        let mut document = json!({
            "Version": self.version,
            "Routes": [
                route("safe", "/safe/", "safe", PLAIN_SERVICE, 2),
                route("unsafe", "/unsafe/", "unsafe", PLAIN_SERVICE, 1),
                route("stream", "/stream/", "stream", ENGINE_SERVICE, self.settings.stream_attempts),
            ],
            "Services": [
                {"Name": PLAIN_SERVICE, "HealthPath": HEALTH_PATH, "MaxConns": 100},
                {"Name": ENGINE_SERVICE, "HealthPath": HEALTH_PATH, "MaxConns": 100, "Engine": {
                    "Slots": 8, "KvCapacity": 1000, "WeightsMb": 1000, "LoadsPerS": 3.0,
                    "AdapterSlots": ADAPTER_SLOTS,
                    "Models": [{"Name": MODEL, "WeightsMb": 500, "AdapterMb": 10,
                                "LoadTimeS": 0.5, "Adapters": 9}],
                }},
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4096,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        });
        change(&mut document);
        self.store.put("op/config", document);
    }

    /// Waits until the entry with a metrics page uses the newest list.
    pub async fn wait_for_list(&self, metrics: SocketAddr) {
        let revision = self.store.revision();
        until_async("the newest list is in use", || async {
            list_revision(&metrics_text(metrics).await) >= revision
        })
        .await;
    }

    /// Returns the version of the newest configuration.
    pub fn version(&self) -> u64 {
        self.version
    }
    pub async fn is_ready(&self) -> bool {
        is_ready(self.readiness).await
    }
    /// Returns the metrics page of the ingress, or an empty string if it is not served.
    pub async fn metrics_text(&self) -> String {
        metrics_text(self.metrics).await
    }
    /// Returns the value of a metric of the ingress without labels.
    pub async fn metric(&self, name: &str) -> Option<u64> {
        let text = self.metrics_text().await;
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.and_then(|value| value.parse().ok())
    }
    pub async fn wait_ready(&self) {
        until_async("the ingress is ready", || self.is_ready()).await;
    }
    pub fn sidecar_log(&self, number: usize) -> String {
        let file = format!("side-{number}.log");
        fs::read_to_string(self.settings_file.with_file_name(file)).unwrap_or_default()
    }
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

fn spawn(settings: &FleetSettings, program: &Path, args: &[&str], log: &Path) -> Result<Process> {
    match settings.descriptors {
        Some(descriptors) => Process::spawn_limited(program, args, log, descriptors),
        None => Process::spawn(program, args, log),
    }
}

/// Returns an entry's settings as the platform lays them, on a machine with this memory.
fn in_platform_form(document: &Value, memory_mib: u64) -> Value {
    let clients: Option<SocketAddr> = document["clients"].as_str().and_then(|a| a.parse().ok());
    json!({
        "platform": {
            "NodeName": document["name"], "Zone": document["zone"],
            "Ip": clients.map(|addr| addr.ip()),
            "PortRange": [document["sidecar_port"], document["sidecar_port"]],
            "Listen": {"Front": document["clients"], "Readiness": document["readiness"]},
            "Provider": {"Address": document["store"]},
            "Bounds": {"GraceS": document["grace_s"]},
            "Bootstrap": true,
            "Limits": {"MemoryMb": memory_mib},
        },
        "relays_from_engines": document["relays_from_engines"],
    })
}

/// Returns a sidecar's settings as the platform lays them.
fn sidecar_in_platform_form(document: &Value, memory_mib: u64) -> Value {
    let listen: Option<SocketAddr> = document["listen"].as_str().and_then(|a| a.parse().ok());
    json!({
        "platform": {
            "NodeName": document["name"], "app": document["engine"],
            "Ip": listen.map(|addr| addr.ip()),
            "PortRange": [listen.map(|addr| addr.port()), 0],
            "Provider": {"Address": document["store"]},
            "Limits": {"MemoryMb": memory_mib},
        },
    })
}

/// Turns `first_start` off in a settings file; older builds reject the key as unknown.
fn set_restarted(file: &Path, is_older_build: bool) -> Result<()> {
    let mut document: Value = serde_json::from_slice(&fs::read(file)?)?;
    if let Some(document) = document.as_object_mut() {
        match is_older_build {
            true => document.remove("first_start"),
            false => document.insert("first_start".to_string(), json!(false)),
        };
    }
    fs::write(file, document.to_string())?;
    Ok(())
}

fn entry_program(settings: &FleetSettings) -> Result<PathBuf> {
    match &settings.entry_program {
        Some(program) => Ok(program.clone()),
        None => Ok(Binaries::get()?.entry),
    }
}

fn with_host(addr: SocketAddr, last: u8) -> SocketAddr {
    let IpAddr::V4(ip) = addr.ip() else {
        return addr;
    };
    let [a, b, c, _] = ip.octets();
    SocketAddr::from(([a, b, c, last], addr.port()))
}
