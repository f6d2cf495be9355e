use {
    super::SharedStream,
    arc_swap::ArcSwap,
    chalkcart_protocol::peer::{Frame, TargetReport},
    chalkcart_state::ids::Sequence,
    futures::{stream::unfold, Stream},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// A report is sent after this time without another frame.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Reads a stream's frames; counts as one of its readers until it is dropped.
struct FrameReader {
    stream: Arc<SharedStream>,
    frame_count: watch::Receiver<usize>,
    reports: Arc<ArcSwap<TargetReport>>,
    next: Sequence,
    has_sent_report: bool,
    has_ended: bool,
}

impl Drop for FrameReader {
    fn drop(&mut self) {
        self.stream.remove_reader();
    }
}

impl FrameReader {
    async fn next_frame(&mut self) -> Option<Frame> {
        if self.has_ended {
            return None;
        }
        if !self.has_sent_report {
            self.has_sent_report = true;
            return Some(self.report());
        }
        loop {
            if let Some(body) = self.stream.frame(self.next) {
                let sequence = self.next;
                self.next += 1;
                self.has_ended = body.is_last();
                return Some(Frame::Numbered { sequence, body });
            }
            let read_count = self.next as usize;
            let next_frame = self.frame_count.wait_for(|count| *count > read_count);
            if timeout(HEARTBEAT_INTERVAL, next_frame).await.is_err() {
                return Some(self.report());
            }
        }
    }
    fn report(&self) -> Frame {
        Frame::Report(TargetReport::clone(&self.reports.load()))
    }
}

/// Returns the frames of a request starting at sequence number `from`, preceded by a report
/// and with further reports as heartbeats.
pub fn frames(
    stream: Arc<SharedStream>,
    reports: Arc<ArcSwap<TargetReport>>,
    from: Sequence,
) -> impl Stream<Item = Frame> + Send {
    stream.add_reader();
    let reader = FrameReader {
        frame_count: stream.subscribe(),
        stream,
        reports,
        next: from,
        has_sent_report: false,
        has_ended: false,
    };
    unfold(reader, |mut reader| async move {
        let frame = reader.next_frame().await?;
        Some((frame, reader))
    })
}
