//! keys, client accounts and their limits, over real processes

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
/// how long a configuration may be relied on in these tests, in ms
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
        publish_config: false,
        revoke_ms: Some(REVOKE_MS),
        ..settings
    })
    .await?;
    configure(&mut fleet, accounts);
    fleet.wait_ready().await;
    Ok(fleet)
}

/// publish accounts; the route `/public/` needs no key
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

fn asking(path: &str, id: &str, headers: &[(&str, &str)]) -> ClientRequest {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_string()));
    ClientRequest {
        target: path.to_string(),
        id: id.to_string(),
        headers: headers.collect(),
        ..ClientRequest::default()
    }
}

async fn ask(fleet: &Fleet, path: &str, id: &str, key: &str) -> Result<ClientResponse> {
    request(fleet.clients, &asking(path, id, &[("Api-Key", key)])).await
}

#[tokio::test]
async fn a_key_names_its_account_and_goes_no_further() -> Result<()> {
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
        let mut sent = asking(path, &id, &head);
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
        let named = run.headers.get("chalkcart-tenant").map(String::as_str);
        assert_eq!(named, account, "{path}");
        let shown = run.headers.values().any(|value| value.contains(key));
        assert!(!shown, "{path}: {:?}", run.headers);
    }
    Ok(())
}

#[tokio::test]
async fn without_a_known_key_nothing_runs() -> Result<()> {
    let fleet = start(accounts()).await?;
    let upper = KEY.to_uppercase();
    let long = "k".repeat(1_000);
    let heads: [&[(&str, &str)]; 7] = [
        &[],
        &[("Api-Key", "")],
        &[("Api-Key", "no-such-key")],
        &[("Api-Key", &upper)],
        &[("Api-Key", &long)],
        &[("Api-Key", KEY), ("Api-Key", KEY)],
        &[("Chalkcart-Tenant", "acme")],
    ];
    for head in heads {
        let answer = request(fleet.clients, &asking("/safe/", "id", head)).await?;
        assert_eq!(answer.status, 401, "{head:?}");
    }
    assert!(fleet.plain.iter().all(|plain| plain.runs().is_empty()));
    Ok(())
}

#[tokio::test]
async fn no_process_writes_a_key() -> Result<()> {
    let fleet = start(accounts()).await?;
    let wrong = "wrong-key-70";
    for key in [KEY, OTHER_KEY, wrong] {
        for path in ["/safe/", "/public/", "/nowhere/"] {
            ask(&fleet, path, "id", key).await?;
        }
    }
    until("the answers are logged", || {
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
        for key in [KEY, SECOND_KEY, OTHER_KEY, wrong] {
            assert!(!text.contains(key), "{key} in {text}");
        }
    }
    Ok(())
}

#[tokio::test]
async fn a_key_that_is_taken_away_or_added_is_so_soon() -> Result<()> {
    let mut fleet = start(accounts()).await?;
    assert_eq!(ask(&fleet, "/safe/", "r1", SECOND_KEY).await?.status, 200);
    configure(
        &mut fleet,
        json!([{"Name": "acme", "ApiKeys": [KEY, "third-key"]}]),
    );
    until_async("the key is gone", || async {
        let answer = ask(&fleet, "/safe/", "r2", SECOND_KEY).await;
        answer.is_ok_and(|answer| answer.status == 401)
    })
    .await;
    for key in [KEY, "third-key"] {
        assert_eq!(ask(&fleet, "/safe/", key, key).await?.status, 200);
    }
    Ok(())
}

/// a box that does not hear the store can't know that a key was taken away
#[tokio::test]
async fn keys_are_refused_while_the_store_is_not_heard_and_served_after() -> Result<()> {
    let fleet = start(accounts()).await?;
    fleet.store.set_fault(StoreFault::Status(503));
    until_async("keys are refused", || async {
        let answer = ask(&fleet, "/safe/", "r1", KEY).await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    // what is not known may be new: nothing is said about it
    for (path, key) in [("/safe/", "no-such-key"), ("/nowhere/", KEY)] {
        let answer = ask(&fleet, path, "r2", key).await?;
        assert_eq!(answer.status, 503, "{path}");
        assert!(answer.head.get("retry-after").is_some());
    }
    assert_eq!(ask(&fleet, "/public/", "r3", KEY).await?.status, 200);
    assert!(!fleet.is_ready().await, "clients are served elsewhere");
    fleet.store.set_fault(StoreFault::None);
    fleet.wait_ready().await;
    assert_eq!(ask(&fleet, "/safe/", "r4", KEY).await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn a_configuration_that_cant_be_read_ends_the_use_of_keys() -> Result<()> {
    let mut fleet = start(accounts()).await?;
    configure(&mut fleet, json!([{"Name": "acme", "RatePerS": -1}]));
    until_async("keys are refused", || async {
        let answer = ask(&fleet, "/safe/", "r1", KEY).await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    configure(&mut fleet, accounts());
    until_async("keys are served", || async {
        let answer = ask(&fleet, "/safe/", "r2", KEY).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    Ok(())
}

/// 900 tokens at once and 50 a second: the fifth call of 200 comes too soon
#[tokio::test]
async fn an_account_over_its_limit_is_told_when_to_come_back() -> Result<()> {
    let fleet = start(accounts()).await?;
    let mut refused = None;
    for number in 0..60 {
        let answer = ask(&fleet, "/unsafe/", &format!("r{number}"), OTHER_KEY).await?;
        match answer.status {
            200 => {}
            429 => refused = Some(answer),
            other => panic!("{other}"),
        }
        if refused.is_some() {
            break;
        }
    }
    let refused = refused.expect("a refusal");
    let seconds: f64 = refused.head.get("retry-after").expect("a time").parse()?;
    assert!(seconds > 0.0, "{seconds}");
    assert_eq!(ask(&fleet, "/unsafe/", "other", KEY).await?.status, 200);
    let runs: usize = fleet.plain.iter().map(|p| p.runs().len()).sum();
    assert!(runs < 60, "{runs}");
    until("the refusal is logged", || {
        fleet.log().contains("over limit")
    })
    .await;
    Ok(())
}

/// watches that fall silent without a reset are given up, while new calls work
#[tokio::test]
async fn silent_watches_of_the_store_are_found_out() -> Result<()> {
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
            let answer = ask(&fleet, "/safe/", "r1", &key).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        // and the list: the one plain service leaves and comes back
        for (state, status) in [("draining", 503), ("ready", 200)] {
            fleet.publish_plain(0, state);
            until_async("the list is known", || async {
                let answer = ask(&fleet, "/safe/", "r2", KEY).await;
                answer.is_ok_and(|answer| answer.status == status)
            })
            .await;
        }
    }
    Ok(())
}
