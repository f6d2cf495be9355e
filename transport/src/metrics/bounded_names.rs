use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// under which all further names count together
const OTHER: &str = "other";

/// Names from outside that are counted one by one, up to a number of them: each costs a row
/// of the page of metrics.
#[derive(Debug)]
pub struct BoundedNames {
    most: usize,
    named: Mutex<HashSet<String>>,
}

impl BoundedNames {
    pub fn new(most: usize) -> Self {
        Self {
            most,
            named: Mutex::default(),
        }
    }

    /// the name under which this one counts
    pub fn label_for(&self, name: &str) -> String {
        // no holder panics halfway through a change
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        if named.len() < self.most {
            named.insert(name.to_string());
        }
        match named.contains(name) {
            true => name.to_string(),
            false => OTHER.to_string(),
        }
    }
}
