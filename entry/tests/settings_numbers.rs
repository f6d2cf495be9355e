//! Guards against a number of the settings file that ends a process, or the task that reads it.

use {
    chalkcart::conf::IngressSettings,
    chalkcart_node::settings::Checked,
    quickcheck::{Arbitrary, Gen},
    serde_json::{json, Value},
};

const SEED: u64 = 93;
const CASES: usize = 500;
const NUMBERS: &[f64] = &[
    0.0,
    -0.0,
    -1.0,
    0.5,
    1e3,
    86_400.0,
    86_401.0,
    1e18,
    1e19,
    1e22,
    1e300,
    f64::MAX,
    f64::MIN,
    f64::MIN_POSITIVE,
];
const FIELDS: &[&str] = &[
    "grace_s",
    "retry_ratio",
    "retry_extra",
    "retry_window_s",
    "quota_window_s",
    "quota_overage",
    "quota_slack",
    "store_reads_per_s",
    "version_ms",
    "drain_ms",
    "config_apply_ms",
    "heartbeat_ms",
];

fn settings(change: impl FnOnce(&mut Value)) -> Option<IngressSettings> {
    let mut settings = json!({"name": "e", "zone": "z", "clients": "127.0.0.1:1",
        "readiness": "127.0.0.1:2", "metrics": "127.0.0.1:3", "store": "127.0.0.1:4",
        "sidecar_port": 5, "grace_s": 8.0, "retry_ratio": 0.2, "retry_extra": 50.0,
        "retry_window_s": 10.0, "version_ms": 5000, "drain_ms": 2000,
        "store_reads_per_s": 2000.0});
    change(&mut settings);
    let settings: IngressSettings = serde_json::from_value(settings).ok()?;
    settings.check().ok()?;
    Some(settings)
}

/// Uses every time of the settings.
fn use_all(settings: &IngressSettings) {
    let _ = (settings.grace(), settings.heartbeat(), settings.limits());
    let _ = settings.revocation_bound();
    let _ = std::time::Duration::from_secs_f64(settings.retry_window_s);
}

#[test]
fn usual_settings_are_valid() {
    assert!(settings(|_| {}).is_some());
}

/// Guards against a reload that ends the task which reads the file, and a stop that ends at once.
#[test]
fn a_time_beyond_any_is_rejected() {
    for field in ["grace_s", "retry_window_s", "quota_window_s"] {
        assert!(settings(|s| s[field] = json!(1e22)).is_none(), "{field}");
    }
}

#[test]
fn any_accepted_numbers_can_be_used() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..CASES {
        let accepted = settings(|settings| {
            for _ in 0..1 + u8::arbitrary(&mut g) % 3 {
                let field = g.choose(FIELDS).copied().unwrap_or("grace_s");
                let number = g.choose(NUMBERS).copied().unwrap_or(0.0);
                settings[field] = match field.ends_with("_ms") {
                    true => json!(number.abs() as u64),
                    false => json!(number),
                };
            }
        });
        accepted.iter().for_each(use_all);
    }
}
