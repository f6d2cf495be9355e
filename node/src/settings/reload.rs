use {
    super::{parse_translated, Checked, SettingsError, Translate},
    crate::signals::unblock_sighup,
    anyhow::{Context, Result},
    serde::de::DeserializeOwned,
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::{
        signal::unix::{signal, SignalKind},
        time::timeout,
    },
};

/// how often the file is compared without a signal
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// follows a settings file: read again at SIGHUP, and when its text changes
pub struct SettingsReloader {
    file: PathBuf,
    text: String,
    translate: Translate,
}

impl SettingsReloader {
    /// `file` was read at the start
    pub fn new(file: &Path) -> Self {
        Self::with_translation(file, Ok)
    }
    /// the same for a file of another form
    pub fn with_translation(file: &Path, translate: Translate) -> Self {
        Self {
            translate,
            file: file.to_path_buf(),
            text: std::fs::read_to_string(file).unwrap_or_default(),
        }
    }

    /// hand each good new version to `apply`; a bad one is refused with a log
    /// line, and the old one stays in force
    pub async fn run<T: DeserializeOwned + Checked>(
        mut self,
        apply: impl Fn(T) + Send,
    ) -> Result<()> {
        let mut hangup = signal(SignalKind::hangup()).context("watch SIGHUP")?;
        unblock_sighup()?;
        loop {
            let signalled = timeout(LOOK_EVERY, hangup.recv()).await.is_ok();
            match self.read_changed::<T>(signalled) {
                Ok(Some(settings)) => {
                    log::info!("settings: {} in force", self.file.display());
                    apply(settings);
                }
                Ok(None) => {}
                Err(e) => log::error!("settings: new ones refused, the old stay in force: {e}"),
            }
        }
    }

    fn read_changed<T: DeserializeOwned + Checked>(
        &mut self,
        signalled: bool,
    ) -> Result<Option<T>, SettingsError> {
        let read = std::fs::read_to_string(&self.file);
        let text = read.map_err(|source| SettingsError::Read {
            file: self.file.clone(),
            source,
        })?;
        if !signalled && text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse_translated(&self.text, self.translate).map(Some)
    }
}
