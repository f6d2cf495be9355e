use {
    chalkcart_state::{
        config::{
            digest_of, shard_index, Adapter, AdapterVersion, Change, Class, Configuration, Group,
            Policy, Root, Service, Shard, ROOT_KEY,
        },
        ids::{BaseModelName, GroupName, WeightsDigest},
    },
    std::sync::Arc,
};

/// Published documents of one generation.
#[derive(Debug, Clone)]
pub struct Documents {
    pub root: Root,
    pub shards: Vec<Arc<Shard>>,
}

impl Documents {
    /// Returns generation 1 without adapters.
    pub fn new(shard_count: usize) -> Self {
        let empty = Shard::default();
        Self {
            root: Root {
                generation: 1,
                groups: Vec::new(),
                classes: vec![
                    class("counter", 0, 10_000, 10),
                    class("sameday", 1, 30_000, 3),
                    class("overnight", 2, 120_000, 1),
                ],
                base_models: Vec::new(),
                services: Vec::new(),
                policy: Policy::default(),
                shards: vec![digest_of(&empty); shard_count],
            },
            shards: (0..shard_count).map(|_| Arc::default()).collect(),
        }
    }

    pub fn with_group(mut self, name: &str, share: u32) -> Self {
        self.root.groups.push(Group {
            name: name.to_string(),
            share,
        });
        self
    }
    pub fn with_base_model(mut self, name: &str) -> Self {
        self.root.base_models.push(name.to_string());
        self
    }
    pub fn with_service(mut self, name: &str, max_running: u32, repeatable: bool) -> Self {
        self.root.services.push(Service {
            name: name.to_string(),
            max_running,
            repeatable,
        });
        self
    }
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.root.policy = policy;
        self
    }
    /// Adds adapters named `PREFIX-0`, `PREFIX-1` and so on, each with versions 1 and 2.
    pub fn with_adapters(
        mut self,
        prefix: &str,
        count: usize,
        group: &str,
        base_model: &str,
    ) -> Self {
        let mut shards = self.plain_shards();
        for number in 0..count {
            let adapter = new_adapter(
                format!("{prefix}-{number}"),
                group.to_string(),
                base_model.to_string(),
            );
            let index = shard_index(&adapter.name, shards.len());
            shards[index].adapters.push(adapter);
        }
        for shard in &mut shards {
            shard.adapters.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.root.shards = shards.iter().map(digest_of).collect();
        self.shards = shards.into_iter().map(Arc::new).collect();
        self
    }

    /// Returns copies of the shards without reference counting.
    pub fn plain_shards(&self) -> Vec<Shard> {
        self.shards.iter().map(|s| s.as_ref().clone()).collect()
    }

    /// Applies a change as an operator would, and returns the documents to publish.
    pub fn changed(&self, change: &Change) -> anyhow::Result<Self> {
        let root = Arc::new(self.root.clone());
        let configuration = Configuration::new(root, self.plain_shards())?;
        let planned = configuration.plan_change(self.root.generation, change)?;
        let mut next = self.clone();
        for document in planned.documents {
            if document.key == ROOT_KEY {
                next.root = serde_json::from_str(&document.content)?;
                continue;
            }
            let index: usize = document.key.trim_start_matches("shard/").parse()?;
            next.shards[index] = Arc::new(serde_json::from_str(&document.content)?);
        }
        Ok(next)
    }
}

fn class(name: &str, priority: u8, timeout_ms: u64, stall_cost: u32) -> Class {
    Class {
        name: name.to_string(),
        priority,
        timeout_ms,
        // a request of priority 2 reaches priority 0 within two thirds of its timeout
        age_after_ms: timeout_ms / 3,
        stall_cost,
    }
}

fn new_adapter(name: String, group: GroupName, base_model: BaseModelName) -> Adapter {
    let versions = (1..=2).map(|version| AdapterVersion {
        version,
        digest: WeightsDigest::of(format!("{name}@{version}").as_bytes()),
    });
    Adapter {
        versions: versions.collect(),
        name,
        group,
        base_model,
    }
}
