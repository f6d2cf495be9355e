//! Streams of events that an engine sends.

use {
    super::{
        backend_responses::{response_head, wait_unless_disconnected},
        backend_stand_in::{BackendFault, BackendState, CutKind, StreamFault},
    },
    crate::serving::lock,
    anyhow::{bail, Result},
    chalkcart_coordination::response_end::Framing,
    std::{sync::Mutex, time::Instant},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Streams numbered events after the last one that the caller has.
pub async fn stream_events(
    socket: &mut TcpStream,
    state: &Mutex<BackendState>,
    run_index: usize,
    headers: &[(&'static str, String)],
    (fault, last): (BackendFault, Option<u64>),
) -> Result<()> {
    let (event_count, event_interval) = {
        let state = lock(state);
        (
            state.event_count,
            state.event_interval + state.event_interval_per_run * state.running,
        )
    };
    let cut = match fault {
        BackendFault::Cut(cut) => Some(cut),
        _ => None,
    };
    let framing = cut.map_or(Framing::Chunks, |cut| cut.framing);
    let next = last.map_or(0, |id| id as u32 + 1);
    let from = match fault {
        BackendFault::ShiftEvents(events) => next.saturating_add_signed(events),
        _ => next,
    };
    let events: Vec<String> = (from..event_count).map(|n| event(state, n)).collect();
    let length = body_length(&events, cut);
    let head = response_head(headers, &framing_header(framing, length));
    socket.write_all(&head).await?;
    for (part, event) in (from..).zip(&events) {
        if fault == BackendFault::TruncateBody && part == event_count / 2 {
            bail!("connection closed in the body");
        }
        if let Some(cut) = cut.filter(|cut| part - from == cut.after) {
            let bytes = &event.as_bytes()[..cut.extra_bytes.min(event.len())];
            // a chunk of no bytes would end the body
            if !bytes.is_empty() {
                socket.write_all(&framed(bytes, framing)).await?;
            }
            if cut.kind == CutKind::End {
                return end_body(socket, framing).await;
            }
            return cut_stream(socket, state, cut);
        }
        let event = framed(event.as_bytes(), framing);
        if socket.write_all(&event).await.is_err() {
            lock(state).runs[run_index].has_client_disconnected = true;
            bail!("caller disconnected");
        }
        wait_unless_disconnected(socket, state, run_index, event_interval).await?;
    }
    end_body(socket, framing).await
}

/// Returns an event as it is sent.
pub(super) fn event(state: &Mutex<BackendState>, number: u32) -> String {
    let state = lock(state);
    let data = &state.event_data;
    match state.has_event_ids {
        true => format!("id: {number}\ndata: {data}\n\n"),
        false => format!("data: {data}\n\n"),
    }
}

/// Returns the number of bytes of a body that ends as its framing requires.
fn body_length(events: &[String], cut: Option<StreamFault>) -> usize {
    let whole = events.iter().map(String::len).sum();
    match cut {
        Some(cut) if cut.kind == CutKind::End => {
            let sent = events.iter().take(cut.after as usize);
            sent.map(String::len).sum::<usize>() + cut.extra_bytes
        }
        _ => whole,
    }
}

pub(super) fn framing_header(framing: Framing, length: usize) -> String {
    match framing {
        Framing::Length => format!("Content-Length: {length}"),
        Framing::Chunks => "Transfer-Encoding: chunked".to_string(),
        Framing::Connection => "Connection: close".to_string(),
    }
}

pub(super) fn framed(bytes: &[u8], framing: Framing) -> Vec<u8> {
    if framing != Framing::Chunks {
        return bytes.to_vec();
    }
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

async fn end_body(socket: &mut TcpStream, framing: Framing) -> Result<()> {
    match framing {
        Framing::Length => Ok(()),
        Framing::Chunks => Ok(socket.write_all(b"0\r\n\r\n").await?),
        Framing::Connection => bail!("connection closed to end the body"),
    }
}

fn cut_stream(socket: &TcpStream, state: &Mutex<BackendState>, cut: StreamFault) -> Result<()> {
    match cut.kind {
        CutKind::Crash => lock(state).crash(),
        CutKind::Close | CutKind::End => lock(state).cuts.push(Instant::now()),
        CutKind::Reset => {
            lock(state).cuts.push(Instant::now());
            socket.set_zero_linger()?;
        }
    }
    bail!("stream cut")
}
