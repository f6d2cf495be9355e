use {
    gotham::state::{FromState, State, StateData},
    std::{
        ops::Deref,
        panic::{RefUnwindSafe, UnwindSafe},
        sync::Arc,
    },
};

/// A process's shared state, as gotham's state data.
///
/// gotham requires unwind safety. The shared state is behind locks that remain usable after
/// a panic of their holder.
#[derive(Debug)]
pub struct SharedData<T>(Arc<T>);

impl<T> SharedData<T> {
    pub fn new(shared: Arc<T>) -> Self {
        Self(shared)
    }
}

impl<T: Send + Sync + 'static> SharedData<T> {
    /// Returns the shared state from a request's state.
    pub fn of(state: &State) -> Arc<T> {
        Self::borrow_from(state).0.clone()
    }
    /// Returns the shared state from a request's state, or `None` if the server has none.
    pub fn try_of(state: &State) -> Option<Arc<T>> {
        Self::try_borrow_from(state).map(|shared| shared.0.clone())
    }
}

impl<T> Clone for SharedData<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Deref for SharedData<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> UnwindSafe for SharedData<T> {}
impl<T> RefUnwindSafe for SharedData<T> {}
impl<T: Send + Sync + 'static> StateData for SharedData<T> {}
