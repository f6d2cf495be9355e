use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// The label of names beyond the limit.
const OTHER: &str = "other";

/// Label values from external names, limited in number, as each adds a series to the metrics.
#[derive(Debug)]
pub struct BoundedNames {
    max_names: usize,
    names: Mutex<HashSet<String>>,
}

impl BoundedNames {
    pub fn new(max_names: usize) -> Self {
        Self {
            max_names,
            names: Mutex::default(),
        }
    }

    /// Returns the label value for a name: the name itself, or `other` beyond the limit.
    pub fn label_for(&self, name: &str) -> String {
        // No holder panics in the middle of an update.
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if names.len() < self.max_names {
            names.insert(name.to_string());
        }
        match names.contains(name) {
            true => name.to_string(),
            false => OTHER.to_string(),
        }
    }
}
