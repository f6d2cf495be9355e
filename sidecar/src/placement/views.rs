use {
    super::shared::Shared,
    chalkcart_protocol::peer::{EngineView, ViewUpdate},
    futures::{stream::unfold, Stream},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// a view goes out when nothing else did for this long
const HEARTBEAT: Duration = Duration::from_millis(400);

/// the views of the engine from now on: the first whole, then what changes
pub fn view_updates(shared: &Arc<Shared>) -> impl Stream<Item = ViewUpdate> + Send {
    let mut views = shared.view.subscribe();
    views.mark_changed();
    let reader = (shared.clone(), views, None);
    unfold(reader, |(shared, mut views, mut sent)| async move {
        // a time without a change is a heartbeat; the sender lives as long
        // as `shared`
        let _ = timeout(HEARTBEAT, views.changed()).await;
        let view = views.borrow_and_update().clone();
        let update = next_update(&mut sent, view);
        Some((update, (shared, views, sent)))
    })
}

/// the first message is whole, each later one says what has changed
fn next_update(sent: &mut Option<EngineView>, view: EngineView) -> ViewUpdate {
    let update = match sent {
        Some(before) => ViewUpdate::between(before, &view),
        None => ViewUpdate::Whole(view.clone()),
    };
    *sent = Some(view);
    update
}
