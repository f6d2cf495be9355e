//! Responses that take longer than the time for their head.
//!
//! Guards against abandoning a large response on a slow link, whose bytes would be sent again.

use {
    anyhow::Result,
    bytes::Bytes,
    chalkcart_transport::client::{ClientError, HttpClient, ResponseLimits},
    http::Method,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

const PARTS: usize = 5;
/// All parts together take longer than `LIMITS.head`.
const PART_INTERVAL: Duration = Duration::from_millis(300);
const LIMITS: ResponseLimits = ResponseLimits {
    head: Duration::from_millis(1_000),
    pause: Duration::from_millis(1_000),
    total: Duration::from_secs(20),
    bytes: 1_024,
};

/// Serves one response of `PARTS` bytes, of which `sent` are sent one by one.
async fn serve(sent: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await?;
        let mut buf = [0; 1_024];
        let _ = socket.read(&mut buf).await?;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n");
        socket.write_all(head.as_bytes()).await?;
        for _ in 0..sent {
            sleep(PART_INTERVAL).await;
            socket.write_all(b"x").await?;
        }
        // the connection stays open
        sleep(Duration::from_secs(60)).await;
        anyhow::Ok(())
    });
    Ok(addr)
}

async fn read(addr: SocketAddr, limits: ResponseLimits) -> Result<Bytes, ClientError> {
    let http = HttpClient::new();
    let call = http.exchange(addr, Method::GET, "/", "text/plain", Bytes::new(), limits);
    call.await.map(|(_, body)| body)
}

#[tokio::test]
async fn a_response_whose_parts_keep_arriving_is_read_completely() -> Result<()> {
    let body = read(serve(PARTS).await?, LIMITS).await?;
    assert_eq!(body.len(), PARTS);
    Ok(())
}

#[tokio::test]
async fn a_response_that_stops_is_abandoned_after_the_pause() -> Result<()> {
    assert!(read(serve(PARTS - 1).await?, LIMITS).await.is_err());
    Ok(())
}

#[tokio::test]
async fn a_response_is_abandoned_after_the_total_time() -> Result<()> {
    let limits = ResponseLimits {
        total: PART_INTERVAL * 2,
        ..LIMITS
    };
    assert!(read(serve(PARTS).await?, limits).await.is_err());
    Ok(())
}

/// One limit for everything, as for all calls that are not large.
#[tokio::test]
async fn one_limit_includes_the_body() -> Result<()> {
    let limits = ResponseLimits::from(PART_INTERVAL * 2);
    assert!(read(serve(PARTS).await?, limits).await.is_err());
    Ok(())
}
