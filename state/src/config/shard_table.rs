use {
    super::{Adapter, AdapterVersion, Shard},
    std::collections::BTreeSet,
};

/// End offsets of one adapter's name and versions; they begin where the previous row's end.
#[derive(Debug)]
struct Row {
    name_end: u32,
    versions_end: u32,
    /// Indexes into `shared_names`.
    group: u16,
    base_model: u16,
}

/// An adapter of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterRow<'t> {
    pub name: &'t str,
    pub group: &'t str,
    pub base_model: &'t str,
    /// In ascending order of their number.
    pub versions: &'t [AdapterVersion],
}

/// Compact in-memory form of a shard: a few large allocations in place of many small
/// strings, so that a small box can hold hundreds of thousands of adapters.
#[derive(Debug, Default)]
pub struct ShardTable {
    /// Concatenated adapter names, in ascending order.
    names: Box<str>,
    rows: Box<[Row]>,
    versions: Box<[AdapterVersion]>,
    /// Distinct names of groups and base models, in ascending order.
    shared_names: Box<[Box<str>]>,
}

impl ShardTable {
    pub fn len(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Looks up an adapter by name.
    pub fn find(&self, name: &str) -> Option<AdapterRow<'_>> {
        let (mut low, mut high) = (0, self.rows.len());
        while low < high {
            let middle = low + (high - low) / 2;
            if self.name(middle) < name {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        (low < self.rows.len() && self.name(low) == name).then(|| self.row(low))
    }

    /// Returns all adapters in ascending order of their name.
    pub fn iter(&self) -> impl Iterator<Item = AdapterRow<'_>> {
        (0..self.rows.len()).map(|index| self.row(index))
    }

    /// Rebuilds the document, to send it to peers.
    pub fn to_shard(&self) -> Shard {
        let adapters = self.iter().map(|row| Adapter {
            name: row.name.to_string(),
            group: row.group.to_string(),
            base_model: row.base_model.to_string(),
            versions: row.versions.to_vec(),
        });
        Shard {
            adapters: adapters.collect(),
        }
    }

    fn name(&self, index: usize) -> &str {
        let start = match index {
            0 => 0,
            _ => self.rows[index - 1].name_end as usize,
        };
        &self.names[start..self.rows[index].name_end as usize]
    }

    fn row(&self, index: usize) -> AdapterRow<'_> {
        let row = &self.rows[index];
        let start = match index {
            0 => 0,
            _ => self.rows[index - 1].versions_end as usize,
        };
        AdapterRow {
            name: self.name(index),
            group: &self.shared_names[usize::from(row.group)],
            base_model: &self.shared_names[usize::from(row.base_model)],
            versions: &self.versions[start..row.versions_end as usize],
        }
    }
}

impl From<&Shard> for ShardTable {
    /// Expects a validated shard, whose names are in ascending order.
    fn from(shard: &Shard) -> Self {
        let shared_names: BTreeSet<&str> = shard
            .adapters
            .iter()
            .flat_map(|a| [a.group.as_str(), a.base_model.as_str()])
            .collect();
        let shared_names: Box<[Box<str>]> = shared_names.into_iter().map(Box::from).collect();
        let name_index = |name: &str| {
            let found = shared_names.binary_search_by(|o| o.as_ref().cmp(name));
            found.unwrap_or_default() as u16
        };
        let mut names = String::new();
        let mut versions = Vec::new();
        let mut rows = Vec::with_capacity(shard.adapters.len());
        for adapter in &shard.adapters {
            names.push_str(&adapter.name);
            versions.extend_from_slice(&adapter.versions);
            rows.push(Row {
                name_end: names.len() as u32,
                versions_end: versions.len() as u32,
                group: name_index(&adapter.group),
                base_model: name_index(&adapter.base_model),
            });
        }
        Self {
            names: names.into_boxed_str(),
            rows: rows.into_boxed_slice(),
            versions: versions.into_boxed_slice(),
            shared_names,
        }
    }
}
