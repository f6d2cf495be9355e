use {
    crate::serving::lock,
    std::{sync::Mutex, time::Duration},
    tokio::time::{sleep_until, Instant},
};

/// The link of a machine with a limited rate in each direction, which all of its connections share.
#[derive(Debug)]
pub struct SharedLink {
    /// Bytes per second.
    rate: f64,
    /// Until when each direction is in use.
    busy_until: [Mutex<Option<Instant>>; 2],
}

impl SharedLink {
    /// A link with this many Mbit/s in each direction.
    pub fn with_mbps(mbps: f64) -> Self {
        Self {
            rate: mbps * 1e6 / 8.0,
            busy_until: Default::default(),
        }
    }

    /// Returns once bytes have passed, after those that came before.
    pub(super) async fn pass(&self, is_inbound: bool, bytes: usize) {
        let until = {
            let mut busy_until = lock(&self.busy_until[usize::from(is_inbound)]);
            let now = Instant::now();
            let from = busy_until.map_or(now, |until| until.max(now));
            *busy_until.insert(from + Duration::from_secs_f64(bytes as f64 / self.rate))
        };
        sleep_until(until).await;
    }
}
