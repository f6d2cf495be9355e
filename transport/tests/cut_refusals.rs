//! Refusals of an engine that break off.

use {
    chalkcart_coordination::sidecar::{OrderFence, OrderResult},
    chalkcart_protocol::peer::GenerateWork,
    chalkcart_state::ids::WeightsDigest,
    chalkcart_transport::engine::{Engine, EngineRun, HttpEngine},
    std::{error::Error, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const REASON: &str = r#"{"refused":"NotLoaded"}"#;
const ORDER: OrderFence = OrderFence {
    incarnation: 1,
    fence: 1,
};

/// Starts an engine that answers each connection's first call with these bytes and closes it.
async fn engine_that_sends(bytes: Vec<u8>) -> Result<SocketAddr, Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut call = Vec::new();
            // bodies of calls end with the brace of the document
            while !call.ends_with(b"}") {
                if socket.read_buf(&mut call).await.unwrap_or(0) == 0 {
                    break;
                }
            }
            let _ = socket.write_all(&bytes).await;
        }
    });
    Ok(addr)
}

fn run() -> EngineRun {
    EngineRun {
        request: "r".to_string(),
        work: GenerateWork {
            adapter: "a".to_string(),
            version: 1,
            digest: WeightsDigest::of(b"w"),
            base_model: "m".to_string(),
            prompt: "p".to_string(),
            generated: Vec::new(),
            max_tokens: 1,
        },
        priority: 0,
    }
}

/// Guards against: a response that broke off, or a failure that is no refusal, and that counts as
/// the proof that a request was not run and an order not executed.
#[tokio::test]
async fn only_a_whole_refusal_proves_that_nothing_was_done() -> Result<(), Box<dyn Error>> {
    for status in [
        "400 Bad Request",
        "409 Conflict",
        "500 Internal Server Error",
    ] {
        let framings = [
            format!("Content-Length: {}\r\n", REASON.len()),
            String::new(),
        ];
        for framing in framings {
            let response = format!("HTTP/1.1 {status}\r\n{framing}\r\n{REASON}");
            for bytes in 0..=response.len() {
                let is_whole = bytes == response.len();
                let addr = engine_that_sends(response.as_bytes()[..bytes].to_vec()).await?;
                let engine = HttpEngine::new(addr);
                let generated = engine.generate(ORDER, &run()).await;
                let proves = generated.as_ref().is_err_and(|e| e.proves_not_done());
                assert!(generated.is_err(), "{status}, {bytes}");
                assert_eq!(proves, is_whole, "{status} {framing:?}, {bytes}");
                let ordered = engine.take_fence(ORDER).await;
                let result = ordered.expect_err("a refusal").order_result();
                let is_known = result != OrderResult::Unknown;
                assert_eq!(is_known, is_whole, "{status} {framing:?}, {bytes}");
            }
        }
    }
    for body in ["{}", r#"{"refused":""}"#, "out of memory"] {
        let head = format!("HTTP/1.1 500 -\r\nContent-Length: {}\r\n\r\n", body.len());
        let addr = engine_that_sends(format!("{head}{body}").into_bytes()).await?;
        let engine = HttpEngine::new(addr);
        let generated = engine.generate(ORDER, &run()).await;
        assert!(generated.is_err_and(|e| !e.proves_not_done()), "{body}");
        let ordered = engine.take_fence(ORDER).await;
        let result = ordered.expect_err("a failure").order_result();
        assert_eq!(result, OrderResult::Unknown, "{body}");
    }
    Ok(())
}
