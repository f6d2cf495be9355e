use {
    super::{Class, ConfigError, Group, Policy, Service},
    crate::ids::{BaseModelName, Digest, Generation},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The root document of the configuration, which references the shards by digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    pub generation: Generation,
    pub groups: Vec<Group>,
    pub classes: Vec<Class>,
    pub base_models: Vec<BaseModelName>,
    #[serde(default)]
    pub services: Vec<Service>,
    #[serde(default)]
    pub policy: Policy,
    /// Digests of the adapter shards, by shard index.
    pub shards: Vec<Digest>,
}

impl Root {
    /// Validates the document on its own.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.generation == 0 {
            return Err(ConfigError::bad_value("generation", "0", "1 or more"));
        }
        if self.shards.is_empty() {
            return Err(ConfigError::bad_value(
                "shards",
                "none",
                "one shard or more",
            ));
        }
        if self.classes.is_empty() {
            return Err(ConfigError::bad_value(
                "classes",
                "none",
                "one class or more",
            ));
        }
        check_names("groups", self.groups.iter().map(|g| g.name.as_str()))?;
        check_names("classes", self.classes.iter().map(|c| c.name.as_str()))?;
        check_names("base_models", self.base_models.iter().map(String::as_str))?;
        check_names("services", self.services.iter().map(|s| s.name.as_str()))?;
        for group in &self.groups {
            check_positive(format!("groups.{}.share", group.name), group.share)?;
        }
        for service in &self.services {
            check_positive(
                format!("services.{}.max_running", service.name),
                service.max_running,
            )?;
        }
        for class in &self.classes {
            check_positive(
                format!("classes.{}.timeout_ms", class.name),
                class.timeout_ms,
            )?;
            check_positive(
                format!("classes.{}.age_after_ms", class.name),
                class.age_after_ms,
            )?;
        }
        check_positive(
            "policy.store_loads_per_second",
            self.policy.store_loads_per_second,
        )?;
        check_positive(
            "policy.store_loads_at_once",
            self.policy.store_loads_at_once,
        )
    }
}

fn check_positive(key: impl Into<String>, value: impl Into<u64>) -> Result<(), ConfigError> {
    match value.into() {
        0 => Err(ConfigError::bad_value(key, "0", "1 or more")),
        _ => Ok(()),
    }
}

fn check_names<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Result<(), ConfigError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            return Err(ConfigError::bad_value(key, "an empty name", "a name"));
        }
        if !seen.insert(name) {
            return Err(ConfigError::bad_value(key, name, "each name once"));
        }
    }
    Ok(())
}
