//! Client headers that reach a back end, over real processes.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{request, ClientRequest, Fleet, FleetSettings},
    rand::{rngs::StdRng, seq::IndexedRandom, RngExt, SeedableRng},
    std::collections::HashMap,
};

const SEED: u64 = 18;
const REQUESTS: usize = 60;
/// Headers that only the system or a back end may set.
const RESERVED: &[&str] = &[
    "Chalkcart-Hold",
    "Chalkcart-Pin-Ms",
    "Chalkcart-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Chalkcart-Expect-Version",
    "Chalkcart-Expect-Instance",
    "Chalkcart-Request-Urgency",
    "Chalkcart-Not-Run",
    "Chalkcart-Response-Stamp",
    "Chalkcart-Of-Tomorrow",
];
/// Headers that a client sets and back ends must receive unchanged.
const END_TO_END: &[&str] = &[
    "Chalkcart-Model",
    "Chalkcart-Token-Usage",
    "Chalkcart-Prefix-Hash",
];
/// Reserved headers that the ingress adds to a request.
const SET_BY_INGRESS: &[&str] = &["chalkcart-expect-instance", "chalkcart-request-urgency"];
const FORGED: &str = "planted";

fn random_request(rng: &mut StdRng, number: usize) -> ClientRequest {
    let mut headers = vec![("X-Own".to_string(), format!("{:x}", rng.random::<u64>()))];
    for name in RESERVED {
        if rng.random_bool(0.4) {
            headers.push((name.to_string(), FORGED.to_string()));
        }
    }
    for name in END_TO_END {
        if rng.random_bool(0.7) {
            let value = match *name {
                "Chalkcart-Model" => "m".to_string(),
                "Chalkcart-Token-Usage" => format!("{},9", rng.random_range(1..99)),
                _ => format!("{:x}:40", rng.random::<u32>()),
            };
            headers.push((name.to_string(), value));
        }
    }
    if rng.random_bool(0.3) {
        let listed = END_TO_END.choose(rng).expect("a name");
        headers.push(("Connection".to_string(), format!("X-Hop, {listed}")));
        headers.push(("X-Hop".to_string(), FORGED.to_string()));
    }
    let route = ["safe", "unsafe", "stream"].choose(rng).expect("a route");
    let len = rng.random_range(0..200);
    let body = (0..len).map(|_| rng.random()).collect();
    ClientRequest {
        method: ["POST", "PUT", "GET"].choose(rng).expect("a method"),
        target: format!(
            "/{route}/{:x}?q={:x}",
            rng.random::<u32>(),
            rng.random::<u8>()
        ),
        id: format!("r{number}"),
        headers,
        body,
        ..ClientRequest::default()
    }
}

#[tokio::test]
async fn client_headers_arrive_unchanged_and_reserved_ones_are_removed() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    let mut rng = StdRng::seed_from_u64(SEED);
    for number in 0..REQUESTS {
        let sent = random_request(&mut rng, number);
        let response = request(fleet.clients, &sent).await?;
        assert_eq!(response.status, 200, "{sent:?}");
        let backends = fleet.plain.iter().chain(&fleet.engines);
        let mut runs = backends.flat_map(|b| b.runs());
        let run = runs.find(|run| run.request == sent.id).expect("a run");
        assert_eq!(run.method, sent.method);
        assert_eq!((&run.target, &run.body), (&sent.target, &sent.body));
        let sent_headers: HashMap<String, &String> = sent
            .headers
            .iter()
            .map(|(name, value)| (name.to_lowercase(), value))
            .collect();
        for name in END_TO_END.iter().chain(&["X-Own"]) {
            let name = name.to_lowercase();
            assert_eq!(
                run.headers.get(&name),
                sent_headers.get(&name).copied(),
                "{sent:?}"
            );
        }
        for (name, value) in &run.headers {
            assert_ne!(value, FORGED, "{name} of {sent:?}");
            let is_reserved = RESERVED
                .iter()
                .any(|reserved| reserved.eq_ignore_ascii_case(name));
            assert!(
                !is_reserved || SET_BY_INGRESS.contains(&name.as_str()),
                "{name}"
            );
        }
    }
    Ok(())
}
