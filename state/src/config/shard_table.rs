use {
    super::{Adapter, AdapterVersion, Shard},
    std::collections::BTreeSet,
};

/// where one adapter's parts end; they begin where the previous one's end
#[derive(Debug)]
struct Row {
    name_end: u32,
    versions_end: u32,
    /// indexes into `words`
    group: u16,
    base_model: u16,
}

/// one adapter of a table
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterRow<'t> {
    pub name: &'t str,
    pub group: &'t str,
    pub base_model: &'t str,
    /// in rising order of their number
    pub versions: &'t [AdapterVersion],
}

/// a shard as an entry keeps it: few large blocks in place of many small
/// strings, since 180,000 adapters must fit a small box
#[derive(Debug, Default)]
pub struct ShardTable {
    /// names one behind the other, in rising order
    names: Box<str>,
    rows: Box<[Row]>,
    versions: Box<[AdapterVersion]>,
    /// names of groups and base models, each once, in rising order
    words: Box<[Box<str>]>,
}

impl ShardTable {
    pub fn len(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// the adapter of that name
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

    /// all adapters, in rising order of their name
    pub fn iter(&self) -> impl Iterator<Item = AdapterRow<'_>> {
        (0..self.rows.len()).map(|index| self.row(index))
    }

    /// the document again, for peers
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
            group: &self.words[usize::from(row.group)],
            base_model: &self.words[usize::from(row.base_model)],
            versions: &self.versions[start..row.versions_end as usize],
        }
    }
}

impl From<&Shard> for ShardTable {
    /// the shard was checked, so its names are in rising order
    fn from(shard: &Shard) -> Self {
        let words: BTreeSet<&str> = shard
            .adapters
            .iter()
            .flat_map(|a| [a.group.as_str(), a.base_model.as_str()])
            .collect();
        let words: Box<[Box<str>]> = words.into_iter().map(Box::from).collect();
        let place = |word: &str| {
            let found = words.binary_search_by(|w| w.as_ref().cmp(word));
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
                group: place(&adapter.group),
                base_model: place(&adapter.base_model),
            });
        }
        Self {
            names: names.into_boxed_str(),
            rows: rows.into_boxed_slice(),
            versions: versions.into_boxed_slice(),
            words,
        }
    }
}
