//! the form of the builds up to 2205e90: a life of a back end is a text there, its name

use {super::CodecError, rmpv::Value};

/// the field that holds the life of a back end, in each message that has one
const LIFE: &str = "backend";
const NAME: &str = "name";

/// rewrite a message with names so that lives are texts
pub fn rewrite_with_text_ids(named: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = read(named)?;
    rewrite(&mut message);
    let mut buf = Vec::with_capacity(named.len());
    let written = rmpv::encode::write_value(&mut buf, &message);
    written.map_err(|e| CodecError::Rewrite(e.to_string()))?;
    Ok(buf)
}

/// whether a message that was received names lives by texts; none if it names no life
pub fn has_text_ids(named: &[u8]) -> Option<bool> {
    find(&read(named).ok()?)
}

fn read(mut named: &[u8]) -> Result<Value, CodecError> {
    let read = rmpv::decode::read_value(&mut named);
    read.map_err(|e| CodecError::Rewrite(e.to_string()))
}

fn rewrite(value: &mut Value) {
    match value {
        Value::Array(items) => items.iter_mut().for_each(rewrite),
        Value::Map(rows) => {
            for (key, value) in rows {
                match (key.as_str(), name_in(value)) {
                    (Some(LIFE), Some(name)) => *value = name,
                    _ => rewrite(value),
                }
            }
        }
        _ => {}
    }
}

/// the name in a life that is written as a map
fn name_in(life: &Value) -> Option<Value> {
    let rows = life.as_map()?;
    let name = rows.iter().find(|(key, _)| key.as_str() == Some(NAME));
    name.map(|(_, name)| name.clone())
}

fn find(value: &Value) -> Option<bool> {
    match value {
        Value::Array(items) => items.iter().find_map(find),
        Value::Map(rows) => rows.iter().find_map(|(key, value)| match key.as_str() {
            Some(LIFE) => Some(value.is_str()),
            _ => find(value),
        }),
        _ => None,
    }
}
