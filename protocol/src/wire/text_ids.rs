//! Encoding of builds up to 2205e90, in which a back end's id is its name alone.

use {super::CodecError, rmpv::Value};

/// Field that holds the id of a back end, in all messages that have one.
const ID_FIELD: &str = "backend";
const NAME_FIELD: &str = "name";

/// Replaces the ids in an encoded message by their text form.
pub fn rewrite_with_text_ids(named: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = parse(named)?;
    replace_ids(&mut message);
    let mut buf = Vec::with_capacity(named.len());
    let written = rmpv::encode::write_value(&mut buf, &message);
    written.map_err(|e| CodecError::Rewrite(e.to_string()))?;
    Ok(buf)
}

/// Whether the ids in an encoded message are text; `None` if it has no ids.
pub fn has_text_ids(named: &[u8]) -> Option<bool> {
    first_id_is_text(&parse(named).ok()?)
}

fn parse(mut named: &[u8]) -> Result<Value, CodecError> {
    let read = rmpv::decode::read_value(&mut named);
    read.map_err(|e| CodecError::Rewrite(e.to_string()))
}

fn replace_ids(value: &mut Value) {
    match value {
        Value::Array(items) => items.iter_mut().for_each(replace_ids),
        Value::Map(rows) => {
            for (key, value) in rows {
                match (key.as_str(), id_name(value)) {
                    (Some(ID_FIELD), Some(name)) => *value = name,
                    _ => replace_ids(value),
                }
            }
        }
        _ => {}
    }
}

/// Returns the name of an id that is encoded as a map.
fn id_name(id: &Value) -> Option<Value> {
    let rows = id.as_map()?;
    let name = rows
        .iter()
        .find(|(key, _)| key.as_str() == Some(NAME_FIELD));
    name.map(|(_, name)| name.clone())
}

fn first_id_is_text(value: &Value) -> Option<bool> {
    match value {
        Value::Array(items) => items.iter().find_map(first_id_is_text),
        Value::Map(rows) => rows.iter().find_map(|(key, value)| match key.as_str() {
            Some(ID_FIELD) => Some(value.is_str()),
            _ => first_id_is_text(value),
        }),
        _ => None,
    }
}
