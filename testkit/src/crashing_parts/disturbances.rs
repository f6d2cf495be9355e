use {
    super::settings::Disturbance,
    crate::users_platform::{Fleet, OtherIngress},
    anyhow::Result,
    std::time::{Duration, Instant},
    tokio::time::{sleep, sleep_until},
};

/// Disturbs the processes until a time, one after the other.
pub async fn disturb(
    fleet: &mut Fleet,
    others: &mut [OtherIngress],
    disturbance: Disturbance,
    until: Instant,
) -> Result<()> {
    let every = match disturbance {
        Disturbance::None => Duration::MAX,
        Disturbance::EntriesKilled { every }
        | Disturbance::EntriesPaused { every, .. }
        | Disturbance::SidecarsKilled { every }
        | Disturbance::EnginesCrash { every } => every,
    };
    let begin = Instant::now();
    for count in 1.. {
        let at = begin.checked_add(every.saturating_mul(count));
        let Some(at) = at.filter(|at| *at < until) else {
            break;
        };
        sleep_until(at.into()).await;
        disturb_once(fleet, others, disturbance, count as usize).await?;
    }
    sleep_until(until.into()).await;
    Ok(())
}

async fn disturb_once(
    fleet: &mut Fleet,
    others: &mut [OtherIngress],
    disturbance: Disturbance,
    count: usize,
) -> Result<()> {
    let engine = count * 7 % fleet.engines.len();
    match disturbance {
        Disturbance::None => {}
        Disturbance::EntriesKilled { .. } => match others.get_mut(count % (others.len() + 1)) {
            Some(other) => {
                other.process.kill()?;
                fleet.restart_other(other)?;
            }
            None => {
                fleet.ingress.kill()?;
                fleet.restart_ingress()?;
            }
        },
        Disturbance::EntriesPaused { pause, .. } => {
            let other = &others[count % others.len()];
            other.process.pause()?;
            sleep(pause).await;
            other.process.resume()?;
        }
        Disturbance::SidecarsKilled { .. } => {
            let number = count % fleet.sidecars.len();
            fleet.sidecars[number].kill()?;
            fleet.sidecars[number] = fleet.start_sidecar(number as u8)?;
        }
        Disturbance::EnginesCrash { .. } => fleet.engines[engine].state().crash(),
    }
    Ok(())
}
