//! Processes of an older build beside those of this one, in both directions.
//!
//! They run where `CHALKCART_OTHER_BUILD` names a folder with the programs of that build; a
//! second build is too slow for each run, where `landed_peers.rs` and the recorded bytes of
//! messages stand for it.

use {
    anyhow::Result,
    chalkcart_testkit::{
        cluster::Binaries,
        users_platform::{serve_prompt, Fleet, FleetSettings},
        waiting::until_async,
    },
};

const ADAPTERS: [&str; 3] = ["a", "b", "c"];

/// each adapter is loaded and served, and again once its engine's sidecar is another build
async fn serves_all(fleet: &Fleet, round: u32) -> Result<()> {
    for adapter in ADAPTERS {
        for number in 0..3 {
            let id = format!("{round}-{adapter}-{number}");
            let answer = serve_prompt(fleet, adapter, &id).await?;
            assert!(
                answer.status == 200 && answer.is_complete,
                "{:?}",
                answer.head
            );
        }
    }
    Ok(())
}

async fn start(settings: FleetSettings) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        engines: 3,
        plain: 0,
        ..settings
    })
    .await
}

#[tokio::test]
async fn entries_of_an_older_build_are_served_by_sidecars_of_this_one() -> Result<()> {
    let Some(other) = Binaries::from_other_build() else {
        return Ok(());
    };
    let fleet = start(FleetSettings {
        entry_program: Some(other.entry),
        ..FleetSettings::default()
    })
    .await?;
    serves_all(&fleet, 0).await
}

#[tokio::test]
async fn entries_of_this_build_are_served_by_sidecars_of_an_older_one() -> Result<()> {
    let Some(other) = Binaries::from_other_build() else {
        return Ok(());
    };
    let fleet = start(FleetSettings {
        sidecar_program: Some(other.sidecar),
        ..FleetSettings::default()
    })
    .await?;
    serves_all(&fleet, 0).await
}

/// the same by a relay, which is one of the sidecars
#[tokio::test]
async fn relays_of_one_build_stand_between_ends_of_another() -> Result<()> {
    let Some(other) = Binaries::from_other_build() else {
        return Ok(());
    };
    for entry_program in [None, Some(other.entry)] {
        let sidecar_program = match entry_program {
            None => Some(other.sidecar.clone()),
            Some(_) => None,
        };
        let fleet = start(FleetSettings {
            relays_from_engines: 1,
            entry_program,
            sidecar_program,
            ..FleetSettings::default()
        })
        .await?;
        serves_all(&fleet, 0).await?;
    }
    Ok(())
}

/// one process after the other: older, this one, older again, this one again
#[tokio::test]
async fn processes_are_replaced_one_after_the_other_and_back() -> Result<()> {
    let Some(other) = Binaries::from_other_build() else {
        return Ok(());
    };
    let (entry, sidecar) = (Some(other.entry), Some(other.sidecar));
    let mut fleet = start(FleetSettings {
        entry_program: entry.clone(),
        sidecar_program: sidecar.clone(),
        ..FleetSettings::default()
    })
    .await?;
    serves_all(&fleet, 0).await?;
    let steps = [(None, None), (entry, sidecar), (None, None)];
    for (round, (entry, sidecar)) in (1..).zip(steps) {
        fleet.set_programs(entry, sidecar);
        for number in 0..3u8 {
            let at = usize::from(number);
            fleet.sidecars[at].kill()?;
            fleet.sidecars[at] = fleet.start_sidecar(number)?;
            serves_all(&fleet, round * 10 + u32::from(number)).await?;
        }
        fleet.ingress.kill()?;
        fleet.restart_ingress()?;
        until_async("the ingress is ready", || fleet.is_ready()).await;
        serves_all(&fleet, round * 10 + 5).await?;
    }
    Ok(())
}
