use {
    super::SharedStream,
    arc_swap::ArcSwap,
    chalkcart_protocol::peer::{Frame, TargetReport},
    chalkcart_state::ids::Sequence,
    futures::{stream::unfold, Stream},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// a report goes out when nothing else did for this long
const HEARTBEAT: Duration = Duration::from_millis(250);

/// counts a reader for as long as it lives
struct Reader {
    stream: Arc<SharedStream>,
    count: watch::Receiver<usize>,
    reports: Arc<ArcSwap<TargetReport>>,
    next: Sequence,
    greeted: bool,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.remove_reader();
    }
}

impl Reader {
    async fn next_frame(&mut self) -> Option<Frame> {
        if self.ended {
            return None;
        }
        if !self.greeted {
            self.greeted = true;
            return Some(self.report());
        }
        loop {
            if let Some(body) = self.stream.frame(self.next) {
                let sequence = self.next;
                self.next += 1;
                self.ended = body.is_last();
                return Some(Frame::Numbered { sequence, body });
            }
            let enough = self.next as usize;
            let more = self.count.wait_for(|count| *count > enough);
            if timeout(HEARTBEAT, more).await.is_err() {
                return Some(self.report());
            }
        }
    }
    fn report(&self) -> Frame {
        Frame::Report(TargetReport::clone(&self.reports.load()))
    }
}

/// the frames of a request from one on, with reports between them
pub fn frames(
    stream: Arc<SharedStream>,
    reports: Arc<ArcSwap<TargetReport>>,
    from: Sequence,
) -> impl Stream<Item = Frame> + Send {
    stream.add_reader();
    let reader = Reader {
        count: stream.watch(),
        stream,
        reports,
        next: from,
        greeted: false,
        ended: false,
    };
    unfold(reader, |mut reader| async move {
        let frame = reader.next_frame().await?;
        Some((frame, reader))
    })
}
