use {
    super::entry_pages::is_ready,
    crate::{
        cluster::{next_addr, Process},
        forwarder::{LinkFault, TcpForwarder},
        waiting::until_async,
    },
    anyhow::Result,
    serde_json::{json, Value},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Additional ingress of a fleet.
pub struct OtherIngress {
    pub process: Process,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub settings_file: PathBuf,
    pub log_file: PathBuf,
    /// Its paths to the sidecars, in the order of the engines; empty if they are direct.
    pub links: Vec<TcpForwarder>,
}

impl OtherIngress {
    /// Writes the settings, starts the process and waits until it is ready.
    pub(super) async fn start(
        folder: &Path,
        name: &str,
        mut settings: Value,
        program: &Path,
        links: Vec<TcpForwarder>,
    ) -> Result<Self> {
        let (clients, readiness, metrics) = (next_addr(), next_addr(), next_addr());
        settings["name"] = json!(name);
        settings["clients"] = json!(clients);
        settings["readiness"] = json!(readiness);
        settings["metrics"] = json!(metrics);
        let settings_file = folder.join(format!("{name}.json"));
        fs::write(&settings_file, settings.to_string())?;
        let log_file = settings_file.with_extension("log");
        let process = spawn(program, &settings_file, &log_file)?;
        until_async("the other ingress is ready", || is_ready(readiness)).await;
        Ok(Self {
            process,
            clients,
            readiness,
            metrics,
            settings_file,
            log_file,
            links,
        })
    }

    /// Starts the process again after it ended.
    pub(super) fn spawn(&mut self, program: &Path) -> Result<()> {
        self.process = spawn(program, &self.settings_file, &self.log_file)?;
        Ok(())
    }

    /// Sets the fault of the links to some sidecars; the others work.
    pub fn cut(&self, fault: LinkFault, is_cut: impl Fn(usize) -> bool) {
        for (number, link) in self.links.iter().enumerate() {
            link.set_fault(match is_cut(number) {
                true => fault,
                false => LinkFault::None,
            });
        }
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(self.readiness).await
    }
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

fn spawn(program: &Path, settings_file: &Path, log_file: &Path) -> Result<Process> {
    let args = ["ingress", &settings_file.display().to_string()];
    Process::spawn(program, &args, log_file)
}
