//! API keys, client accounts and their limits, over real processes.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            request, ClientRequest, ClientResponse, Fleet, FleetSettings, StoreFault,
        },
        waiting::{until, until_async},
    },
    chalkcart_transport::client::HttpClient,
    http::Method,
    serde_json::{json, Value},
    std::time::Duration,
};

const KEY: &str = "key-of-acme-5c1e07a2";
const SECOND_KEY: &str = "second-key-of-acme-91bd3f06";
const OTHER_KEY: &str = "key-of-bolt-e4402b7d";
/// Maximum age of a configuration that keys are checked against, in ms.
const REVOKE_MS: u64 = 4_000;

fn accounts() -> Value {
    json!([
        {"Name": "acme", "ApiKeys": [KEY, SECOND_KEY], "Priority": 0},
        {"Name": "bolt", "ApiKeys": [OTHER_KEY], "Priority": 1, "Unit": "tokens",
         "PlainTokens": 200, "RatePerS": 50, "Burst": 900},
    ])
}

async fn start(accounts: Value) -> Result<Fleet> {
    let settings = FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    };
    start_with(settings, accounts).await
}

async fn start_with(settings: FleetSettings, accounts: Value) -> Result<Fleet> {
    let mut fleet = Fleet::start(FleetSettings {
        should_publish_config: false,
        revoke_ms: Some(REVOKE_MS),
        ..settings
    })
    .await?;
    configure(&mut fleet, accounts);
    fleet.wait_ready().await;
    Ok(fleet)
}

/// Publishes accounts and a route `/public/` that needs no key.
fn configure(fleet: &mut Fleet, accounts: Value) {
    fleet.configure(|document| {
        let mut public = document["Routes"][0].clone();
        public["Name"] = json!("public");
        public["PathPrefix"] = json!("/public/");
        public["Public"] = json!(true);
        document["Routes"]
            .as_array_mut()
            .expect("routes")
            .push(public);
        document["Tenants"] = accounts;
    });
}

fn request_to(path: &str, id: &str, headers: &[(&str, &str)]) -> ClientRequest {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_string()));
    ClientRequest {
        target: path.to_string(),
        id: id.to_string(),
        headers: headers.collect(),
        ..ClientRequest::default()
    }
}

async fn send_with_key(fleet: &Fleet, path: &str, id: &str, key: &str) -> Result<ClientResponse> {
    request(fleet.clients, &request_to(path, id, &[("Api-Key", key)])).await
}

#[tokio::test]
async fn a_key_selects_its_account_and_is_not_forwarded() -> Result<()> {
    let fleet = start(accounts()).await?;
    let cases = [
        ("/safe/", KEY, Some("acme")),
        ("/unsafe/", SECOND_KEY, Some("acme")),
        ("/stream/", KEY, Some("acme")),
        ("/public/", KEY, None),
        ("/public/", "no-such-key", None),
    ];
    for (number, (path, key, account)) in cases.into_iter().enumerate() {
        let id = format!("r{number}");
        let head = [("Api-Key", key), ("Chalkcart-Tenant", "bolt")];
        let mut sent = request_to(path, &id, &head);
        sent.headers.push((
            "Connection".to_string(),
            "api-key, chalkcart-tenant".to_string(),
        ));
        assert_eq!(request(fleet.clients, &sent).await?.status, 200, "{path}");
        let backends = fleet.plain.iter().chain(&fleet.engines);
        let run = backends
            .flat_map(|b| b.runs())
            .find(|run| run.request == id);
        let run = run.expect("a run");
        let account_header = run.headers.get("chalkcart-tenant").map(String::as_str);
        assert_eq!(account_header, account, "{path}");
        let is_key_forwarded = run.headers.values().any(|value| value.contains(key));
        assert!(!is_key_forwarded, "{path}: {:?}", run.headers);
    }
    Ok(())
}

#[tokio::test]
async fn requests_without_a_known_key_are_rejected() -> Result<()> {
    let fleet = start(accounts()).await?;
    let uppercase_key = KEY.to_uppercase();
    let long_key = "k".repeat(1_000);
    let heads: [&[(&str, &str)]; 7] = [
        &[],
        &[("Api-Key", "")],
        &[("Api-Key", "no-such-key")],
        &[("Api-Key", &uppercase_key)],
        &[("Api-Key", &long_key)],
        &[("Api-Key", KEY), ("Api-Key", KEY)],
        &[("Chalkcart-Tenant", "acme")],
    ];
    for head in heads {
        let response = request(fleet.clients, &request_to("/safe/", "id", head)).await?;
        assert_eq!(response.status, 401, "{head:?}");
    }
    assert!(fleet.plain.iter().all(|plain| plain.runs().is_empty()));
    Ok(())
}

#[tokio::test]
async fn no_process_logs_or_exports_a_key() -> Result<()> {
    let fleet = start(accounts()).await?;
    let unknown_key = "wrong-key-70";
    for key in [KEY, OTHER_KEY, unknown_key] {
        for path in ["/safe/", "/public/", "/nowhere/"] {
            send_with_key(&fleet, path, "id", key).await?;
        }
    }
    until("the responses are logged", || {
        fleet.log().contains("unknown key")
    })
    .await;
    let metrics = HttpClient::new()
        .exchange(
            fleet.metrics,
            Method::GET,
            "/metrics",
            "text/plain",
            Default::default(),
            Duration::from_secs(5),
        )
        .await?;
    let metrics = String::from_utf8_lossy(&metrics.1).to_string();
    let sidecar = std::fs::read_to_string(fleet.settings_file.with_file_name("side-0.log"))?;
    for text in [fleet.log(), metrics, sidecar] {
        for key in [KEY, SECOND_KEY, OTHER_KEY, unknown_key] {
            assert!(!text.contains(key), "{key} in {text}");
        }
    }
    Ok(())
}

#[tokio::test]
async fn revoked_and_added_keys_take_effect_soon() -> Result<()> {
    let mut fleet = start(accounts()).await?;
    assert_eq!(
        send_with_key(&fleet, "/safe/", "r1", SECOND_KEY)
            .await?
            .status,
        200
    );
    configure(
        &mut fleet,
        json!([{"Name": "acme", "ApiKeys": [KEY, "third-key"]}]),
    );
    until_async("the key is revoked", || async {
        let response = send_with_key(&fleet, "/safe/", "r2", SECOND_KEY).await;
        response.is_ok_and(|response| response.status == 401)
    })
    .await;
    for key in [KEY, "third-key"] {
        assert_eq!(send_with_key(&fleet, "/safe/", key, key).await?.status, 200);
    }
    Ok(())
}

/// A box without contact to the store can't know whether a key was revoked.
#[tokio::test]
async fn keys_are_rejected_while_the_store_is_unreachable_and_served_after() -> Result<()> {
    let fleet = start(accounts()).await?;
    fleet.store.set_fault(StoreFault::Status(503));
    until_async("keys are rejected", || async {
        let response = send_with_key(&fleet, "/safe/", "r1", KEY).await;
        response.is_ok_and(|response| response.status == 503)
    })
    .await;
    // an unknown key or path may be new, so it isn't rejected for good
    for (path, key) in [("/safe/", "no-such-key"), ("/nowhere/", KEY)] {
        let response = send_with_key(&fleet, path, "r2", key).await?;
        assert_eq!(response.status, 503, "{path}");
        assert!(response.head.get("retry-after").is_some());
    }
    assert_eq!(
        send_with_key(&fleet, "/public/", "r3", KEY).await?.status,
        200
    );
    assert!(
        !fleet.is_ready().await,
        "an entry with an outdated configuration is not ready"
    );
    fleet.store.set_fault(StoreFault::None);
    fleet.wait_ready().await;
    assert_eq!(
        send_with_key(&fleet, "/safe/", "r4", KEY).await?.status,
        200
    );
    Ok(())
}

#[tokio::test]
async fn an_unreadable_configuration_rejects_keys() -> Result<()> {
    let mut fleet = start(accounts()).await?;
    configure(&mut fleet, json!([{"Name": "acme", "RatePerS": -1}]));
    until_async("keys are rejected", || async {
        let response = send_with_key(&fleet, "/safe/", "r1", KEY).await;
        response.is_ok_and(|response| response.status == 503)
    })
    .await;
    configure(&mut fleet, accounts());
    until_async("keys are served", || async {
        let response = send_with_key(&fleet, "/safe/", "r2", KEY).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
    Ok(())
}

/// With a burst of 900 tokens and 50 tokens per second, the fifth call of 200 is over the limit.
#[tokio::test]
async fn an_account_over_its_limit_gets_429_with_retry_after() -> Result<()> {
    let fleet = start(accounts()).await?;
    let mut rejected = None;
    for number in 0..60 {
        let response = send_with_key(&fleet, "/unsafe/", &format!("r{number}"), OTHER_KEY).await?;
        match response.status {
            200 => {}
            429 => rejected = Some(response),
            status => panic!("{status}"),
        }
        if rejected.is_some() {
            break;
        }
    }
    let rejected = rejected.expect("a rejection");
    let seconds: f64 = rejected.head.get("retry-after").expect("a time").parse()?;
    assert!(seconds > 0.0, "{seconds}");
    assert_eq!(
        send_with_key(&fleet, "/unsafe/", "other", KEY)
            .await?
            .status,
        200
    );
    let runs: usize = fleet.plain.iter().map(|p| p.runs().len()).sum();
    assert!(runs < 60, "{runs}");
    until("the rejection is logged", || {
        fleet.log().contains("over limit")
    })
    .await;
    Ok(())
}

/// Watches whose connection goes dead without a reset are replaced by new calls.
#[tokio::test]
async fn dead_store_watches_are_replaced() -> Result<()> {
    let settings = FleetSettings {
        has_store_forwarder: true,
        ..FleetSettings::default()
    };
    let mut fleet = start_with(settings, accounts()).await?;
    for round in 0..2 {
        let forwarder = fleet.store_forwarder.as_ref().expect("a forwarder");
        forwarder.blackhole_open_connections();
        let key = format!("key-of-round-{round}");
        configure(&mut fleet, json!([{"Name": "acme", "ApiKeys": [KEY, key]}]));
        until_async("the new key is known", || async {
            let response = send_with_key(&fleet, "/safe/", "r1", &key).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
        // the list too: the plain service drains and returns
        for (state, status) in [("draining", 503), ("ready", 200)] {
            fleet.publish_plain(0, state);
            until_async("the list is known", || async {
                let response = send_with_key(&fleet, "/safe/", "r2", KEY).await;
                response.is_ok_and(|response| response.status == status)
            })
            .await;
        }
    }
    Ok(())
}
