//! Streams of events that an engine sends.

use {
    super::{
        backend_responses::{response_head, wait_unless_disconnected},
        backend_stand_in::{BackendFault, BackendState, CutKind, StreamFault},
    },
    crate::serving::lock,
    anyhow::{bail, Result},
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
    let is_chunked = cut.is_none_or(|cut| cut.is_chunked);
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked",
        false => "Connection: close",
    };
    let head = response_head(headers, framing);
    socket.write_all(&head).await?;
    let next = last.map_or(0, |id| id as u32 + 1);
    let from = match fault {
        BackendFault::ShiftEvents(events) => next.saturating_add_signed(events),
        _ => next,
    };
    for part in from..event_count {
        if fault == BackendFault::TruncateBody && part == event_count / 2 {
            bail!("connection closed in the body");
        }
        let event = format!("id: {part}\ndata: x\n\n");
        if let Some(cut) = cut.filter(|cut| part - from == cut.after) {
            let bytes = &event.as_bytes()[..cut.extra_bytes.min(event.len())];
            // a chunk of no bytes would end the body
            if !bytes.is_empty() {
                socket.write_all(&framed(bytes, is_chunked)).await?;
            }
            return cut_stream(socket, state, cut);
        }
        let event = framed(event.as_bytes(), is_chunked);
        if socket.write_all(&event).await.is_err() {
            lock(state).runs[run_index].has_client_disconnected = true;
            bail!("caller disconnected");
        }
        wait_unless_disconnected(socket, state, run_index, event_interval).await?;
    }
    match is_chunked {
        true => Ok(socket.write_all(b"0\r\n\r\n").await?),
        false => bail!("connection closed to end the body"),
    }
}

fn framed(bytes: &[u8], is_chunked: bool) -> Vec<u8> {
    if !is_chunked {
        return bytes.to_vec();
    }
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn cut_stream(socket: &TcpStream, state: &Mutex<BackendState>, cut: StreamFault) -> Result<()> {
    match cut.kind {
        CutKind::Crash => lock(state).crash(),
        CutKind::Close => lock(state).cuts.push(Instant::now()),
        CutKind::Reset => {
            lock(state).cuts.push(Instant::now());
            socket.set_zero_linger()?;
        }
    }
    bail!("stream cut")
}
