use {
    log::{
        kv::{self, Key, Value, VisitSource},
        Record,
    },
    serde_json::{Map, Value as Json},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Formats a record as a JSON line with the fields in docs/OPERATIONS.md.
pub fn json_line(node: &str, uptime: Duration, record: &Record) -> String {
    let text = record.args().to_string();
    let (part, message) = text.split_once(": ").unwrap_or(("process", &text));
    let mut fields = Map::new();
    let clock = SystemTime::now().duration_since(UNIX_EPOCH);
    fields.insert("clock_ms".into(), millis(clock.unwrap_or_default()));
    fields.insert("uptime_ms".into(), millis(uptime));
    fields.insert("node".into(), node.into());
    fields.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    fields.insert("part".into(), part.into());
    fields.insert("message".into(), message.into());
    // An in-memory source cannot fail.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    Json::Object(fields).to_string()
}

fn millis(duration: Duration) -> Json {
    Json::from(duration.as_millis() as u64)
}

struct Fields<'m>(&'m mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(integer), _, _) => Json::from(integer),
            (None, Some(real), _) => Json::from((real * 1_000.0).round() / 1_000.0),
            (None, None, Some(flag)) => Json::from(flag),
            (None, None, None) => Json::from(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
