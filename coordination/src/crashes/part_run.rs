/// What a registry noted of one run at an engine, for the parts of its prompt.
#[derive(Debug, Default)]
pub struct PartRun {
    /// Identifies the run in the registry; `None` until it counts for a part.
    pub(super) id: Option<u64>,
}

impl PartRun {
    /// Returns whether the run counts as one that did well.
    pub fn is_counted(&self) -> bool {
        self.id.is_some()
    }
}
