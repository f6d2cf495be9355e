//! serving a stand-in on loopback

use {
    anyhow::Result,
    chalkcart_transport::server::{bind, serve},
    gotham::router::Router,
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    tokio::sync::watch,
};

const GRACE: Duration = Duration::from_millis(100);

/// a stand-in's server; it stops when this is dropped
#[derive(Debug)]
pub struct Serving {
    pub addr: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// serve routes on a free port of loopback
pub async fn serve_router(router: Router) -> Result<Serving> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, router, stopped, GRACE));
    Ok(Serving { addr, _stop: stop })
}

/// lock what no holder leaves broken
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
