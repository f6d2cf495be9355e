use super::BackendState;

/// Returns the candidates that hold a base model.
pub(super) fn holders_of_model<'b>(
    candidates: &[&'b BackendState],
    model: &str,
) -> Vec<&'b BackendState> {
    let holders = candidates.iter().filter(|b| b.has_model(model));
    holders.copied().collect()
}
