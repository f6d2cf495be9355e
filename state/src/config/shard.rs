use {
    super::{Adapter, ConfigError, Root},
    crate::config::shard_index,
    serde::{Deserialize, Serialize},
};

/// Key of the root document in the platform's configuration service.
pub const ROOT_KEY: &str = "root";

/// Returns the key of a shard's document in the platform's configuration service.
pub fn shard_key(index: usize) -> String {
    format!("shard/{index}")
}

/// The adapters whose names hash to one shard index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// In ascending order of their name.
    pub adapters: Vec<Adapter>,
}

impl Shard {
    /// Validates the adapters against the root document.
    pub fn check(&self, index: usize, root: &Root) -> Result<(), ConfigError> {
        let mut previous = "";
        for adapter in &self.adapters {
            let key = format!("shard/{index}/{}", adapter.name);
            if adapter.name.as_str() <= previous {
                return Err(ConfigError::bad_value(
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
        return Err(ConfigError::bad_value(
            key,
            "in this shard",
            "the shard of its name",
        ));
    }
    if !root.groups.iter().any(|g| g.name == adapter.group) {
        return Err(ConfigError::bad_value(key, &adapter.group, "a known group"));
    }
    if !root.base_models.contains(&adapter.base_model) {
        return Err(ConfigError::bad_value(
            key,
            &adapter.base_model,
            "a known base model",
        ));
    }
    let is_ascending = adapter
        .versions
        .windows(2)
        .all(|pair| pair[0].version < pair[1].version);
    if adapter.versions.is_empty() || !is_ascending {
        return Err(ConfigError::bad_value(
            key,
            "its versions",
            "rising numbers, one or more",
        ));
    }
    Ok(())
}
