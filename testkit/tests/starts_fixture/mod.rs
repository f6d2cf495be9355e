//! Programs that meet something as they start: each form of both, what holds an address.

use {
    anyhow::Result,
    chalkcart_testkit::cluster::{next_addr, Binaries, Process},
    serde_json::{json, Value},
    std::{
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time::sleep,
    },
};

/// A program in one of its forms, on addresses of its own.
pub struct Program {
    pub name: &'static str,
    binary: PathBuf,
    arguments: &'static [&'static str],
    settings: Value,
    /// The addresses on which it listens.
    pub addrs: Vec<SocketAddr>,
    folder: PathBuf,
}

/// Returns all forms of both programs. Nothing answers at the addresses that they call.
pub fn programs() -> Result<Vec<Program>> {
    let Binaries { entry, sidecar } = Binaries::get()?;
    let addr = next_addr();
    let nobody = next_addr();
    let (readiness, metrics) = (next_addr(), next_addr());
    let ingress = json!({
        "name": "e", "zone": "z", "clients": addr, "readiness": readiness, "metrics": metrics,
        "store": nobody, "sidecar_port": nobody.port(), "grace_s": 1, "retry_ratio": 0.2,
        "retry_extra": 50, "retry_window_s": 10, "version_ms": 5000, "drain_ms": 2000,
        "store_reads_per_s": 2000,
    });
    let addrs = vec![addr, readiness, metrics];
    let mut all = vec![program("ingress", &entry, &["ingress"], ingress, addrs)?];
    let addr = next_addr();
    let settings = json!({"name": "e", "zone": "z", "listen": addr, "platform": nobody});
    all.push(program("serve", &entry, &["serve"], settings, vec![addr])?);
    let addr = next_addr();
    let settings = json!({"name": "s", "listen": addr, "engine": nobody});
    all.push(program(
        "place",
        &sidecar,
        &["--place"],
        settings,
        vec![addr],
    )?);
    let addr = next_addr();
    let settings = json!({
        "name": "s", "zone": "z", "listen": addr, "entries": [nobody],
        "target": {"engine": {"addr": nobody}},
    });
    all.push(program("sidecar", &sidecar, &[], settings, vec![addr])?);
    Ok(all)
}

fn program(
    name: &'static str,
    binary: &Path,
    arguments: &'static [&'static str],
    settings: Value,
    addrs: Vec<SocketAddr>,
) -> Result<Program> {
    let own = format!("chalkcart-{}-{}", std::process::id(), addrs[0].port());
    let folder = env::temp_dir().join(own);
    fs::create_dir_all(&folder)?;
    let program = Program {
        name,
        binary: binary.to_path_buf(),
        arguments,
        settings,
        addrs,
        folder,
    };
    program.write_settings(&program.settings_text())?;
    Ok(program)
}

impl Program {
    pub fn settings_text(&self) -> String {
        self.settings.to_string()
    }

    pub fn settings_file(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    pub fn write_settings(&self, text: &str) -> Result<()> {
        Ok(fs::write(self.settings_file(), text)?)
    }

    /// Starts it with an empty log.
    pub fn start(&self) -> Result<Process> {
        let log = self.folder.join("log");
        fs::write(&log, "")?;
        let file = self.settings_file().display().to_string();
        let mut arguments = self.arguments.to_vec();
        arguments.push(&file);
        Process::spawn(&self.binary, &arguments, &log)
    }

    /// Returns what it has written since its start.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Waits until it listens on all its addresses, or has ended.
    pub async fn wait_listening(&self, process: &mut Process) {
        for addr in &self.addrs {
            let what = format!("{} listens on {addr}", self.name);
            let listens = async || TcpStream::connect(addr).await.is_ok();
            wait(process, &what, listens).await;
        }
    }

    /// Waits until a line has this text, or the process has ended.
    pub async fn wait_for_line(&self, process: &mut Process, what: &str, text: &str) {
        wait(process, what, async || self.log().contains(text)).await;
    }
}

/// Waits until a condition holds, or the process has ended.
async fn wait(process: &mut Process, what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !process.has_ended() && !condition().await {
        assert!(Instant::now() < end, "waited {WAIT_TIMEOUT:?} for: {what}");
        sleep(POLL).await;
    }
}

/// Time between two looks at a process.
const POLL: Duration = Duration::from_millis(10);
/// Keeps a failing test from hanging; far longer than any start takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// What holds an address, until it is dropped.
pub enum Holder {
    Listener {
        _held: TcpListener,
    },
    /// An outgoing connection of a process that happened to be given this port.
    Connection {
        _held: TcpStream,
        _peer: TcpListener,
    },
}

impl Holder {
    pub async fn listener(addr: SocketAddr) -> Result<Self> {
        let _held = TcpListener::bind(addr).await?;
        Ok(Self::Listener { _held })
    }

    pub async fn connection(addr: SocketAddr) -> Result<Self> {
        let _peer = TcpListener::bind("127.0.0.1:0").await?;
        let socket = TcpSocket::new_v4()?;
        socket.bind(addr)?;
        let _held = socket.connect(_peer.local_addr()?).await?;
        Ok(Self::Connection { _held, _peer })
    }
}
