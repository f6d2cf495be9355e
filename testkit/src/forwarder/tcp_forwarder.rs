use {
    anyhow::Result,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        sync::watch,
        time::sleep,
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// what a forwarder does with its connections
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Cut {
    #[default]
    None,
    /// connections break, and no new one comes about
    Closed,
    /// bytes are swallowed both ways; connections stay open
    Silent,
    /// bytes towards the peer arrive; its answers are swallowed
    AnswersLost,
}

/// passes TCP connections on to a peer, until they are cut
#[derive(Debug)]
pub struct TcpForwarder {
    pub addr: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl TcpForwarder {
    /// forward a free port of loopback to a peer, each way delayed
    pub async fn start(peer: SocketAddr, delay: Duration) -> Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let cut = watch::Sender::new(Cut::None);
        tokio::spawn(accept(listener, peer, delay, cut.subscribe()));
        Ok(Self { addr, cut })
    }
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

async fn accept(
    listener: TcpListener,
    peer: SocketAddr,
    delay: Duration,
    cut: watch::Receiver<Cut>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *cut.borrow() != Cut::Closed {
            tokio::spawn(forward(near, peer, delay, cut.clone()));
        }
    }
}

async fn forward(
    near: TcpStream,
    peer: SocketAddr,
    delay: Duration,
    mut cut: watch::Receiver<Cut>,
) {
    let Ok(far) = TcpStream::connect(peer).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pass(near_read, far_write, delay, cut.clone(), Way::There);
    let back = pass(far_read, near_write, delay, cut.clone(), Way::Back);
    tokio::select! {
        () = there => {}
        () = back => {}
        _ = cut.wait_for(|cut| *cut == Cut::Closed) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

async fn pass(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    delay: Duration,
    cut: watch::Receiver<Cut>,
    way: Way,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut has_hole = false;
    while let Ok(count) = read.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let swallowed = match *cut.borrow() {
            Cut::None | Cut::Closed => false,
            Cut::Silent => true,
            Cut::AnswersLost => way == Way::Back,
        };
        has_hole |= swallowed;
        if swallowed {
            continue;
        }
        // a stream with a hole can't go on
        if has_hole || write.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
}
