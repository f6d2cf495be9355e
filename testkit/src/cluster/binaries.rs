use {
    anyhow::{bail, Context, Result},
    std::{
        env,
        path::PathBuf,
        process::Command,
        sync::{Mutex, OnceLock},
    },
};

static BUILT: OnceLock<Binaries> = OnceLock::new();
static BUILDING: Mutex<()> = Mutex::new(());

/// Paths of the two programs, built with the profile of the running test or example.
#[derive(Debug, Clone)]
pub struct Binaries {
    pub entry: PathBuf,
    pub sidecar: PathBuf,
}

/// Variable with the folder of an older build's programs, for tests of mixed versions.
pub const OTHER_BUILD: &str = "CHALKCART_OTHER_BUILD";

impl Binaries {
    /// Returns the programs of the older build that the environment names, if any.
    pub fn from_other_build() -> Option<Self> {
        let folder = PathBuf::from(env::var_os(OTHER_BUILD)?);
        Some(Self {
            entry: folder.join("chalkcart"),
            sidecar: folder.join("chalkcart-sidecar"),
        })
    }
    /// Builds the programs once and returns their paths.
    pub fn get() -> Result<Self> {
        let _build_lock = BUILDING.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(built) = BUILT.get() {
            return Ok(built.clone());
        }
        let built = build()?;
        Ok(BUILT.get_or_init(|| built).clone())
    }
}

fn build() -> Result<Binaries> {
    // tests run from target/PROFILE/deps, examples from target/PROFILE/examples
    let current_exe = env::current_exe().context("find the running program")?;
    let profile = current_exe.parent().and_then(|deps| deps.parent());
    let folder = profile
        .context("find the folder of the build")?
        .to_path_buf();
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
    let mut command = Command::new(cargo);
    // the whole workspace, so that libraries are built with the same features
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().context("run cargo")?;
    if !status.success() {
        bail!("cargo build of the programs failed: {status}");
    }
    Ok(Binaries {
        entry: folder.join("chalkcart"),
        sidecar: folder.join("chalkcart-sidecar"),
    })
}
