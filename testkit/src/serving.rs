//! Serves a stand-in's routes on loopback.

use {
    anyhow::Result,
    chalkcart_transport::server::{bind, serve, HeldDoor},
    gotham::router::Router,
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    tokio::sync::watch,
};

const GRACE: Duration = Duration::from_millis(100);

/// Server of a stand-in; it stops on drop.
#[derive(Debug)]
pub struct Serving {
    pub addr: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// Serves routes on a free loopback port.
pub async fn serve_router(router: Router) -> Result<Serving> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, router, HeldDoor::default(), stopped, GRACE));
    Ok(Serving { addr, _stop: stop })
}

/// Locks a mutex, ignoring poisoning: no holder leaves its data inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
