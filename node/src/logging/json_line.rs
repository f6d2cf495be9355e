use {
    log::{
        kv::{self, Key, Value, VisitSource},
        Record,
    },
    serde_json::{Map, Value as Json},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// one line of the log: the fields of docs/OPERATIONS.md
pub fn json_line(node: &str, uptime: Duration, record: &Record) -> String {
    let text = record.args().to_string();
    let (part, message) = text.split_once(": ").unwrap_or(("process", &text));
    let mut fields = Map::new();
    let clock = SystemTime::now().duration_since(UNIX_EPOCH);
    fields.insert("clock_ms".into(), number(clock.unwrap_or_default()));
    fields.insert("uptime_ms".into(), number(uptime));
    fields.insert("node".into(), node.into());
    fields.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    fields.insert("part".into(), part.into());
    fields.insert("message".into(), message.into());
    // a source in memory does not fail
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    Json::Object(fields).to_string()
}

fn number(duration: Duration) -> Json {
    Json::from(duration.as_millis() as u64)
}

struct Fields<'m>(&'m mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(whole), _, _) => Json::from(whole),
            (None, Some(real), _) => Json::from((real * 1_000.0).round() / 1_000.0),
            (None, None, Some(flag)) => Json::from(flag),
            (None, None, None) => Json::from(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
