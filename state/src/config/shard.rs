use {
    super::{Adapter, ConfigError, Root},
    crate::config::shard_index,
    serde::{Deserialize, Serialize},
};

/// key of the root document at the platform's configuration service
pub const ROOT_KEY: &str = "root";

/// key of a shard's document at the platform's configuration service
pub fn shard_key(index: usize) -> String {
    format!("shard/{index}")
}

/// the adapters whose names hash to one index
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// in rising order of their name
    pub adapters: Vec<Adapter>,
}

impl Shard {
    /// refuse adapters that the root document has no place for
    pub fn check(&self, index: usize, root: &Root) -> Result<(), ConfigError> {
        let mut previous = "";
        for adapter in &self.adapters {
            let key = format!("shard/{index}/{}", adapter.name);
            if adapter.name.as_str() <= previous {
                return Err(ConfigError::bad(
                    key,
                    "out of order",
                    "rising names, each once",
                ));
            }
            previous = &adapter.name;
            check_adapter(key, adapter, index, root)?;
        }
        Ok(())
    }
}

fn check_adapter(
    key: String,
    adapter: &Adapter,
    index: usize,
    root: &Root,
) -> Result<(), ConfigError> {
    if shard_index(&adapter.name, root.shards.len()) != index {
        return Err(ConfigError::bad(
            key,
            "in this shard",
            "the shard of its name",
        ));
    }
    if !root.groups.iter().any(|g| g.name == adapter.group) {
        return Err(ConfigError::bad(key, &adapter.group, "a known group"));
    }
    if !root.base_models.contains(&adapter.base_model) {
        return Err(ConfigError::bad(
            key,
            &adapter.base_model,
            "a known base model",
        ));
    }
    let rising = adapter
        .versions
        .windows(2)
        .all(|pair| pair[0].version < pair[1].version);
    if adapter.versions.is_empty() || !rising {
        return Err(ConfigError::bad(
            key,
            "its versions",
            "rising numbers, one or more",
        ));
    }
    Ok(())
}
