//! Bytes on the wire, including HTTP heads.

use {
    crate::{
        fit::Slope,
        memory::{documents, list, report, ADAPTERS, TARGETS},
    },
    anyhow::Result,
    chalkcart_protocol::{
        encode, encode_frame,
        peer::{path, Frame, FrameBody, ShardResponse, SyncRequest, SyncResponse},
        wire::WireEncoding,
    },
    chalkcart_state::{config::Root, fleet::FleetList},
    chalkcart_testkit::configs::Documents,
    chalkcart_transport::client::PeerClient,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        runtime::Builder,
    },
};

/// Size of the HTTP response head of a peer, in bytes.
const RESPONSE_HEAD_BYTES: f64 = 110.0;
const GROUPS: [usize; 3] = [5, 50, 200];
const TOKENS: [usize; 3] = [16, 256, 2_048];

pub fn measure() -> Result<Vec<Slope>> {
    let request_bytes = request_bytes()?;
    let unchanged = SyncResponse {
        generation: 1,
        root: None,
        list: None,
    };
    let unchanged = request_bytes + RESPONSE_HEAD_BYTES + encode(&unchanged)?.len() as f64;
    let syncs = [1.0, 2.0, 3.0].map(|n| (n, n * unchanged));
    let mut changes = Vec::new();
    for adapters in ADAPTERS {
        changes.push((adapters as f64, change_bytes(adapters)?));
    }
    let mut lists = Vec::new();
    for targets in TARGETS {
        let response = SyncResponse {
            generation: 1,
            root: None,
            list: Some(list(targets)),
        };
        lists.push((targets as f64, encode(&response)?.len() as f64));
    }
    let mut streams = Vec::new();
    for tokens in TOKENS {
        streams.push((tokens as f64, stream_bytes(tokens)?));
    }
    let mut sidecar_roots = Vec::new();
    for groups in GROUPS {
        sidecar_roots.push((groups as f64, sidecar_root_bytes(groups)?));
    }
    let report = encode_frame(
        &Frame::Report(report("engine-00001")),
        WireEncoding::Positional,
    )?
    .len() as f64;
    Ok(vec![
        Slope::new(
            "an idle exchange of `sync`",
            "bytes a second for each asker",
            syncs.to_vec(),
        ),
        Slope::new(
            "one change passed on: root and shard",
            "bytes an adapter",
            changes,
        ),
        Slope::new(
            "one root passed on to a sidecar",
            "bytes a group",
            sidecar_roots,
        ),
        Slope::new("one new list passed on", "bytes a listed box", lists),
        Slope::new("a stream of tokens, one report", "bytes a token", streams),
        Slope::new(
            "a report",
            "bytes",
            vec![(0.0, report), (1.0, 2.0 * report), (2.0, 3.0 * report)],
        ),
    ])
}

/// Returns the size of a `sync` request, head included, as a listener receives it.
fn request_bytes() -> Result<f64> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let request = SyncRequest {
            from: "engine-00001".to_string(),
            generation: 1_000_000,
            list_version: 1_000_000,
            from_sidecar: true,
        };
        let call = tokio::spawn(async move {
            let timeout = Duration::from_secs(2);
            let _: Result<SyncResponse, _> = PeerClient::new()
                .call(addr, path::SYNC, &request, timeout)
                .await;
        });
        let (mut socket, _) = listener.accept().await?;
        let mut buf = vec![0; 4_096];
        let mut count = 0;
        // the head and the small body may arrive separately
        for _ in 0..2 {
            let next = tokio::time::timeout(Duration::from_millis(200), socket.read(&mut buf));
            count += next.await.unwrap_or(Ok(0))?;
        }
        socket
            .write_all(b"HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n")
            .await?;
        call.await?;
        Ok(count as f64)
    })
}

fn change_bytes(adapters: usize) -> Result<f64> {
    let documents = documents(adapters);
    let shard = ShardResponse {
        shard: Some(documents.shards[0].as_ref().clone()),
    };
    let root = SyncResponse {
        generation: 1,
        root: Some(documents.root),
        list: None::<FleetList>,
    };
    Ok((encode(&root)?.len() + encode(&shard)?.len()) as f64)
}

/// Returns the size of a root for a sidecar, which has no shard digests.
fn sidecar_root_bytes(groups: usize) -> Result<f64> {
    let mut documents = Documents::new(1).with_base_model("model-0");
    for group in 0..groups {
        documents = documents.with_group(&format!("group-{group}"), 1);
    }
    let response = SyncResponse {
        generation: 1,
        root: Some(Root {
            shards: Vec::new(),
            ..documents.root
        }),
        list: None,
    };
    Ok(encode(&response)?.len() as f64)
}

fn stream_bytes(tokens: usize) -> Result<f64> {
    let mut bytes = encode_frame(
        &Frame::Report(report("engine-00001")),
        WireEncoding::Positional,
    )?
    .len();
    for number in 0..tokens {
        let frame = Frame::Numbered {
            sequence: number as u64,
            body: FrameBody::Token("token".to_string()),
        };
        bytes += encode_frame(&frame, WireEncoding::Positional)?.len();
    }
    Ok(bytes as f64)
}
