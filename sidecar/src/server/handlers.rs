use {
    crate::{app::Shared, streams::frames},
    chalkcart_coordination::sidecar::SidecarEvent,
    chalkcart_protocol::{
        peer::{
            CancelAnswer, CancelOrder, Frame, FrameBody, Outcome, Reason, Refusal, ReserveAnswer,
            ReserveOrder, ResumeOrder, Step, TargetReport, WorkOrder,
        },
        wire::WireEncoding,
    },
    chalkcart_transport::{
        metrics::GroupClass,
        server::{
            caller_encoding, frames_reply, message_reply, pages::bad_message, read_message, Reply,
            SharedData,
        },
    },
    futures::stream,
    gotham::{handler::HandlerResult, state::State},
    std::sync::Arc,
};

pub async fn run(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let encoding = caller_encoding(&state);
    let reply = match read_message::<WorkOrder>(&mut state).await {
        Ok(work) => run_work(&shared, work, encoding),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn resume(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let encoding = caller_encoding(&state);
    let reply = match read_message::<ResumeOrder>(&mut state).await {
        Ok(order) => resume_stream(&shared, &order, encoding),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn reserve(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<ReserveOrder>(&mut state).await {
        Ok(order) => message_reply(&reserve_ids(&shared, order.count).await),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn cancel(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<CancelOrder>(&mut state).await {
        Ok(order) => message_reply(&cancel_request(&shared, order).await),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn report(state: State) -> HandlerResult {
    let report = TargetReport::clone(&shared(&state).report.load());
    Ok((state, message_reply(&report)))
}

fn shared(state: &State) -> Arc<Shared> {
    SharedData::of(state)
}

fn run_work(shared: &Arc<Shared>, work: WorkOrder, encoding: WireEncoding) -> Reply {
    let (stream, is_new) = shared.streams.open(&work.request, work.reserved);
    if is_new {
        let group_class = GroupClass {
            group: work.group.clone(),
            class: work.class.clone(),
        };
        shared.metrics.on_request(&group_class);
        shared.send(SidecarEvent::Arrived(Box::new(work)));
    }
    frames_reply(frames(stream, shared.report.clone(), 0), encoding)
}

fn resume_stream(shared: &Arc<Shared>, order: &ResumeOrder, encoding: WireEncoding) -> Reply {
    match shared.streams.get(&order.request) {
        Some(stream) => frames_reply(frames(stream, shared.report.clone(), order.from), encoding),
        None => {
            let name = &shared.settings.name;
            let refusal = Refusal::may_have_run(Step::Stream, name, Reason::AnswerGone);
            let frame = Frame::Numbered {
                sequence: order.from,
                body: FrameBody::Refused(refusal),
            };
            frames_reply(stream::iter([frame]), encoding)
        }
    }
}

async fn reserve_ids(shared: &Shared, count: u32) -> ReserveAnswer {
    let (reply, response) = shared.reserve_replies.register();
    shared.send(SidecarEvent::ReserveRequested { reply, count });
    response.await.unwrap_or_else(|_| {
        let name = &shared.settings.name;
        ReserveAnswer::Refused(Refusal::not_run(Step::Reserve, name, Reason::Lost))
    })
}

async fn cancel_request(shared: &Shared, order: CancelOrder) -> CancelAnswer {
    let (reply, response) = shared.cancel_replies.register();
    shared.send(SidecarEvent::CancelRequested {
        reply,
        request: order.request,
    });
    CancelAnswer {
        outcome: response.await.unwrap_or(Outcome::MayHaveRun),
    }
}
