use {
    super::shared::Shared,
    chalkcart_protocol::peer::{EngineView, ViewUpdate},
    futures::{stream::unfold, Stream},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// A stream without changes repeats the view after this time.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Returns a stream of the engine's views: first the complete view, then its changes.
pub fn view_updates(shared: &Arc<Shared>) -> impl Stream<Item = ViewUpdate> + Send {
    let mut views = shared.view.subscribe();
    views.mark_changed();
    let reader = (shared.clone(), views, None);
    unfold(reader, |(shared, mut views, mut sent)| async move {
        // A timeout sends a heartbeat; `shared` keeps the sender alive.
        let _ = timeout(HEARTBEAT_INTERVAL, views.changed()).await;
        let view = views.borrow_and_update().clone();
        let update = next_update(&mut sent, view);
        Some((update, (shared, views, sent)))
    })
}

/// Returns the difference to the last view sent, or the complete view if there is none.
fn next_update(sent: &mut Option<EngineView>, view: EngineView) -> ViewUpdate {
    let update = match sent {
        Some(before) => ViewUpdate::between(before, &view),
        None => ViewUpdate::Whole(view.clone()),
    };
    *sent = Some(view);
    update
}
