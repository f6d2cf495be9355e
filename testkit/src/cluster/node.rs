use {
    super::{process::Process, Binaries},
    crate::forwarder::TcpForwarder,
    anyhow::{ensure, Result},
    chalkcart_state::fleet::{BoxState, FleetBox, Role},
    chalkcart_transport::client::HttpClient,
    http::{Method, StatusCode},
    serde_json::{Map, Value},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const HTTP_TIMEOUT: Duration = Duration::from_secs(1);

/// Box of the fleet with its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub role: Role,
    /// Address on which the process listens.
    pub listen: SocketAddr,
    /// Address in the platform's list: the forwarder's if there is one.
    pub listed_addr: SocketAddr,
    pub forwarder: Option<TcpForwarder>,
    pub process: Process,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
}

/// Options for starting a node.
#[derive(Debug)]
pub struct NodeOptions<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub role: Role,
    pub listen: SocketAddr,
    /// Forwarder through which other processes reach the node, if any.
    pub forwarder: Option<TcpForwarder>,
    pub settings: Map<String, Value>,
    pub folder: &'a Path,
}

impl Node {
    pub fn start(options: NodeOptions) -> Result<Self> {
        let binaries = Binaries::get()?;
        let program = match options.role {
            Role::Entry => binaries.entry,
            Role::Engine { .. } | Role::Service { .. } => binaries.sidecar,
        };
        let file = |ending: &str| {
            let name = format!("{}-{}.{ending}", options.name, options.listen.port());
            options.folder.join(name)
        };
        let (settings_file, log_file) = (file("json"), file("log"));
        fs::write(
            &settings_file,
            serde_json::to_vec_pretty(&options.settings)?,
        )?;
        let process = spawn(&program, &options.role, &settings_file, &log_file)?;
        Ok(Self {
            name: options.name.to_string(),
            zone: options.zone.to_string(),
            role: options.role,
            listen: options.listen,
            listed_addr: options
                .forwarder
                .as_ref()
                .map_or(options.listen, |f| f.addr),
            forwarder: options.forwarder,
            process,
            program,
            settings_file,
            log_file,
        })
    }

    /// Returns the node's entry in the platform's list.
    pub fn list_entry(&self) -> FleetBox {
        FleetBox {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr: self.listed_addr,
            role: self.role.clone(),
            state: BoxState::Live,
        }
    }

    /// Starts the process again with the same settings.
    pub fn respawn(&mut self) -> Result<()> {
        self.process = spawn(
            &self.program,
            &self.role,
            &self.settings_file,
            &self.log_file,
        )?;
        Ok(())
    }

    /// Waits until `/readyz` responds with 200.
    pub async fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            ensure!(
                Instant::now() < deadline,
                "{} is not ready; its log:\n{}",
                self.name,
                self.log()
            );
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    pub async fn is_ready(&self) -> bool {
        let (status, _) = match self.get("/readyz").await {
            Ok(response) => response,
            Err(_) => return false,
        };
        status == StatusCode::OK
    }

    /// Requests a page from the process.
    pub async fn get(&self, path: &str) -> Result<(StatusCode, String)> {
        let (status, body) = HttpClient::new()
            .exchange(
                self.listen,
                Method::GET,
                path,
                "text/plain",
                bytes::Bytes::new(),
                HTTP_TIMEOUT,
            )
            .await?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns whether a log line contains a text, matched against `part: message`.
    pub fn has_logged(&self, text: &str) -> bool {
        let log = self.log();
        let mut lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.any(|line| {
            let part = line["part"].as_str().unwrap_or_default();
            let message = line["message"].as_str().unwrap_or_default();
            format!("{part}: {message}").contains(text)
        })
    }
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

fn spawn(program: &Path, role: &Role, settings: &Path, log: &Path) -> Result<Process> {
    let settings = settings.to_string_lossy().into_owned();
    let args: Vec<&str> = match role {
        Role::Entry => vec!["serve", &settings],
        Role::Engine { .. } | Role::Service { .. } => vec![&settings],
    };
    Process::spawn(program, &args, log)
}
