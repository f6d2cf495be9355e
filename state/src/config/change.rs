use {
    super::{
        digest_of, shard_index, shard_key, Adapter, AdapterVersion, ConfigError, Configuration,
        Group, Root, Shard, ROOT_KEY,
    },
    crate::ids::{AdapterName, BaseModelName, Generation, GroupName, VersionNumber, WeightsDigest},
    std::sync::Arc,
};

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    CreateGroup {
        group: GroupName,
        share: u32,
    },
    SetShare {
        group: GroupName,
        share: u32,
    },
    RegisterAdapter {
        adapter: AdapterName,
        group: GroupName,
        base_model: BaseModelName,
        digest: WeightsDigest,
    },
    AddVersion {
        adapter: AdapterName,
        digest: WeightsDigest,
    },
    RetireVersion {
        adapter: AdapterName,
        version: VersionNumber,
    },
}

/// A document for the operator to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    pub key: String,
    pub content: String,
}

/// The documents to publish, shards before the root that references them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedDocuments {
    pub generation: Generation,
    pub documents: Vec<Document>,
}

impl Configuration {
    /// Returns the documents of the next generation without writing them anywhere.
    ///
    /// # Errors
    /// `base` is not the current generation, or the change is invalid.
    pub fn plan_change(
        &self,
        base: Generation,
        change: &Change,
    ) -> Result<ChangedDocuments, ConfigError> {
        if base != self.generation() {
            return Err(ConfigError::StaleBase {
                base,
                current: self.generation(),
            });
        }
        let mut root = Root::clone(self.root());
        root.generation += 1;
        let changed = apply(self, &mut root, change)?;
        let next = changed.clone().into_iter();
        self.advance(Arc::new(root.clone()), next.collect())?;
        let mut documents: Vec<Document> = changed
            .iter()
            .map(|(index, shard)| document(shard_key(*index), shard))
            .collect();
        documents.push(document(ROOT_KEY.to_string(), &root));
        Ok(ChangedDocuments {
            generation: root.generation,
            documents,
        })
    }
}

fn document<T: serde::Serialize>(key: String, value: &T) -> Document {
    let content = serde_json::to_string(value).unwrap_or_default();
    Document { key, content }
}

fn apply(
    cfg: &Configuration,
    root: &mut Root,
    change: &Change,
) -> Result<Option<(usize, Shard)>, ConfigError> {
    match change {
        Change::CreateGroup { group, share } => {
            root.groups.push(Group {
                name: group.clone(),
                share: *share,
            });
            Ok(None)
        }
        Change::SetShare { group, share } => {
            let found = root.groups.iter_mut().find(|g| g.name == *group);
            let found =
                found.ok_or_else(|| ConfigError::bad_value("group", group, "a known group"))?;
            found.share = *share;
            Ok(None)
        }
        Change::RegisterAdapter {
            adapter,
            group,
            base_model,
            digest,
        } => {
            let first = AdapterVersion {
                version: 1,
                digest: *digest,
            };
            let registered = Adapter {
                name: adapter.clone(),
                group: group.clone(),
                base_model: base_model.clone(),
                versions: vec![first],
            };
            edit_shard(cfg, root, adapter, |shard| {
                insert_adapter(shard, registered)
            })
        }
        Change::AddVersion { adapter, digest } => edit_shard(cfg, root, adapter, |shard| {
            let found = find_adapter(shard, adapter)?;
            let version = found.versions.last().map_or(1, |v| v.version + 1);
            found.versions.push(AdapterVersion {
                version,
                digest: *digest,
            });
            Ok(())
        }),
        Change::RetireVersion { adapter, version } => edit_shard(cfg, root, adapter, |shard| {
            let found = find_adapter(shard, adapter)?;
            let before = found.versions.len();
            found.versions.retain(|v| v.version != *version);
            match found.versions.len() == before {
                true => Err(ConfigError::bad_value(
                    "version",
                    version.to_string(),
                    "a known version",
                )),
                false => Ok(()),
            }
        }),
    }
}

fn insert_adapter(shard: &mut Shard, adapter: Adapter) -> Result<(), ConfigError> {
    let position = shard
        .adapters
        .binary_search_by(|a| a.name.cmp(&adapter.name));
    match position {
        Ok(_) => Err(ConfigError::bad_value(
            "adapter",
            adapter.name,
            "a new name",
        )),
        Err(index) => {
            shard.adapters.insert(index, adapter);
            Ok(())
        }
    }
}

fn find_adapter<'s>(shard: &'s mut Shard, name: &str) -> Result<&'s mut Adapter, ConfigError> {
    let found = shard.adapters.iter_mut().find(|a| a.name == name);
    found.ok_or_else(|| ConfigError::bad_value("adapter", name, "a known adapter"))
}

fn edit_shard(
    cfg: &Configuration,
    root: &mut Root,
    adapter: &str,
    edit: impl FnOnce(&mut Shard) -> Result<(), ConfigError>,
) -> Result<Option<(usize, Shard)>, ConfigError> {
    let index = shard_index(adapter, root.shards.len());
    let mut shard = cfg.shards()[index].to_shard();
    edit(&mut shard)?;
    root.shards[index] = digest_of(&shard);
    Ok(Some((index, shard)))
}
