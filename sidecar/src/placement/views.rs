use {
    super::shared::Shared,
    chalkcart_protocol::peer::EngineView,
    futures::{stream::unfold, Stream},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// a view goes out when nothing else did for this long
const HEARTBEAT: Duration = Duration::from_millis(250);

/// the views of the engine from now on
pub fn follow(shared: &Arc<Shared>) -> impl Stream<Item = EngineView> + Send {
    let mut views = shared.view.subscribe();
    views.mark_changed();
    unfold((shared.clone(), views), |(shared, mut views)| async move {
        // a time without a change is a heartbeat; the sender lives as long
        // as `shared`
        let _ = timeout(HEARTBEAT, views.changed()).await;
        let view = views.borrow_and_update().clone();
        Some((view, (shared, views)))
    })
}
