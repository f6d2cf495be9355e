use {
    super::{parse_translated, Checked, SettingsError, Translate},
    crate::signals::unblock_sighup,
    anyhow::{Context, Result},
    serde::de::DeserializeOwned,
    std::{
        panic::{catch_unwind, AssertUnwindSafe},
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::{
        signal::unix::{signal, SignalKind},
        time::timeout,
    },
};

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads a settings file on SIGHUP and when its content changes.
pub struct SettingsReloader {
    file: PathBuf,
    text: String,
    translate: Translate,
}

impl SettingsReloader {
    /// Watches a file that the process has already loaded.
    pub fn new(file: &Path) -> Self {
        Self::with_translation(file, Ok)
    }
    /// Watches a file in another format, which `translate` converts.
    pub fn with_translation(file: &Path, translate: Translate) -> Self {
        Self {
            translate,
            file: file.to_path_buf(),
            text: std::fs::read_to_string(file).unwrap_or_default(),
        }
    }

    /// Passes each valid new version to `apply`. An invalid one is logged, and the previous one
    /// stays in force.
    ///
    /// # Errors
    /// SIGHUP cannot be watched or unblocked.
    pub async fn run<T: DeserializeOwned + Checked>(
        mut self,
        apply: impl Fn(T) + Send,
    ) -> Result<()> {
        let mut hangup = signal(SignalKind::hangup()).context("cannot watch SIGHUP")?;
        unblock_sighup()?;
        loop {
            let is_signalled = timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
            // a version that makes it panic must not keep the next one from being read
            let step = AssertUnwindSafe(|| self.reload(is_signalled, &apply));
            if catch_unwind(step).is_err() {
                log::error!("settings: reading or applying a new version failed");
            }
        }
    }

    /// Checks each new version for a process that reads its settings only as it starts. SIGHUP, which
    /// would end it, means the same to it as to others.
    pub async fn check<T: DeserializeOwned + Checked>(self) {
        let apply = |_: T| log::info!("settings: valid; changes take effect at the next start");
        if let Err(e) = self.run(apply).await {
            log::error!("settings: cannot watch for changes: {e:#}");
        }
    }

    fn reload<T: DeserializeOwned + Checked>(&mut self, is_signalled: bool, apply: impl Fn(T)) {
        match self.read_if_changed::<T>(is_signalled) {
            Ok(Some(settings)) => {
                log::info!("settings: {} in force", self.file.display());
                apply(settings);
            }
            Ok(None) => {}
            Err(e) => {
                log::error!("settings: new version rejected; the previous one stays in force: {e}");
            }
        }
    }

    fn read_if_changed<T: DeserializeOwned + Checked>(
        &mut self,
        is_signalled: bool,
    ) -> Result<Option<T>, SettingsError> {
        let read = std::fs::read_to_string(&self.file);
        let text = read.map_err(|source| SettingsError::Read {
            file: self.file.clone(),
            source,
        })?;
        if !is_signalled && text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse_translated(&self.text, self.translate).map(Some)
    }
}
