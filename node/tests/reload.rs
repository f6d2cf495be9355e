//! Guards against a version of the settings file that ends the task which reads it, so that no later
//! version is read.

use {
    chalkcart_node::settings::{Checked, SettingsError, SettingsReloader},
    serde::Deserialize,
    serde_json::Value,
    std::{fs, process, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// A new version is noticed after 2 s; beside load, later.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Debug, Deserialize)]
struct Numbered {
    number: i64,
}

impl Checked for Numbered {
    fn check(&self) -> Result<(), SettingsError> {
        Ok(())
    }
}

fn fails_for_negative(document: Value) -> Result<Value, SettingsError> {
    assert!(document["number"].as_i64() >= Some(0), "a fault");
    Ok(document)
}

#[tokio::test]
async fn a_version_that_panics_does_not_hide_the_next() -> anyhow::Result<()> {
    let file = std::env::temp_dir().join(format!("chalkcart-reload-{}.json", process::id()));
    let write = |number: i64| fs::write(&file, format!("{{\"number\": {number}}}"));
    write(1)?;
    let reloader = SettingsReloader::with_translation(&file, fails_for_negative);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let (failed, mut has_failed) = mpsc::unbounded_channel();
    tokio::spawn(reloader.run(move |settings: Numbered| {
        // one that fails where it is applied
        if settings.number == 2 {
            let _ = failed.send(());
            panic!("a fault");
        }
        let _ = tx.send(settings.number);
    }));
    write(2)?;
    timeout(PATIENCE, has_failed.recv()).await?;
    write(-3)?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    write(4)?;
    let applied = timeout(PATIENCE, rx.recv()).await?;
    fs::remove_file(&file)?;
    assert_eq!(applied, Some(4));
    Ok(())
}
