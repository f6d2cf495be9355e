use {
    super::{
        digest_of, shard_index, AdapterRow, Class, ConfigError, Group, Root, Service, Shard,
        ShardTable,
    },
    crate::ids::{AdapterName, BaseModelName, Generation, GroupName, VersionNumber, WeightsDigest},
    std::sync::Arc,
};

/// A version of an adapter, resolved from the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedAdapter {
    pub name: AdapterName,
    pub group: GroupName,
    pub base_model: BaseModelName,
    pub version: VersionNumber,
    pub digest: WeightsDigest,
}

/// A complete, validated configuration. Generations share the shards that did not change.
#[derive(Debug, Clone)]
pub struct Configuration {
    root: Arc<Root>,
    shards: Vec<Arc<ShardTable>>,
}

impl Configuration {
    /// Builds a configuration from its documents.
    ///
    /// # Errors
    /// A document is invalid or does not match the others.
    pub fn new(root: Arc<Root>, shards: Vec<Shard>) -> Result<Self, ConfigError> {
        root.check()?;
        if shards.len() != root.shards.len() {
            return Err(ConfigError::bad_value(
                "shards",
                shards.len().to_string(),
                root.shards.len().to_string(),
            ));
        }
        let mut tables = Vec::with_capacity(shards.len());
        for (index, shard) in shards.iter().enumerate() {
            check_shard(index, shard, &root)?;
            tables.push(Arc::new(ShardTable::from(shard)));
        }
        Ok(Self {
            root,
            shards: tables,
        })
    }

    /// Builds the next configuration from the shards that differ. Unchanged shards are
    /// validated again only if the root's groups or base models changed.
    pub fn advance(
        &self,
        root: Arc<Root>,
        changed: Vec<(usize, Shard)>,
    ) -> Result<Self, ConfigError> {
        root.check()?;
        let mut shards = self.shards.clone();
        shards.resize_with(root.shards.len(), Default::default);
        for (index, shard) in changed {
            check_shard(index, &shard, &root)?;
            shards[index] = Arc::new(ShardTable::from(&shard));
        }
        if root.groups != self.root.groups || root.base_models != self.root.base_models {
            for (index, shard) in shards.iter().enumerate() {
                shard.to_shard().check(index, &root)?;
            }
        }
        Ok(Self { root, shards })
    }

    /// Returns the indexes of the shards whose content differs in `next`.
    pub fn missing_shards(&self, next: &Root) -> Vec<usize> {
        next.shards
            .iter()
            .enumerate()
            .filter(|(index, digest)| self.root.shards.get(*index) != Some(digest))
            .map(|(index, _)| index)
            .collect()
    }

    pub fn generation(&self) -> Generation {
        self.root.generation
    }
    pub fn root(&self) -> &Arc<Root> {
        &self.root
    }
    pub fn shards(&self) -> &[Arc<ShardTable>] {
        &self.shards
    }
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.root.groups.iter().find(|g| g.name == name)
    }
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.root.classes.iter().find(|c| c.name == name)
    }
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.root.services.iter().find(|s| s.name == name)
    }
    pub fn adapter(&self, name: &str) -> Option<AdapterRow<'_>> {
        self.shards[shard_index(name, self.shards.len())].find(name)
    }
    /// Looks up one version of an adapter.
    pub fn resolve(&self, name: &str, version: VersionNumber) -> Option<ResolvedAdapter> {
        let adapter = self.adapter(name)?;
        let found = adapter.versions.iter().find(|v| v.version == version)?;
        Some(ResolvedAdapter {
            name: adapter.name.to_string(),
            group: adapter.group.to_string(),
            base_model: adapter.base_model.to_string(),
            version: found.version,
            digest: found.digest,
        })
    }
}

fn check_shard(index: usize, shard: &Shard, root: &Root) -> Result<(), ConfigError> {
    let found = digest_of(shard);
    if found != root.shards[index] {
        return Err(ConfigError::WrongShard {
            index,
            found,
            expected: root.shards[index].clone(),
        });
    }
    shard.check(index, root)
}
