//! Admission control by pool.

use {
    overload::OverloadControl,
    routes::PoolId,
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
    },
};

/// Admission control of each pool.
#[derive(Debug, Default)]
pub(crate) struct OverloadControls {
    controls: Mutex<HashMap<PoolId, OverloadControl>>,
}

impl OverloadControls {
    /// Calls `use_control` on the admission control of `pool`.
    pub(crate) fn with<Value, Use>(&self, pool: &str, use_control: Use) -> Value
    where
        Use: FnOnce(&mut OverloadControl) -> Value,
    {
        let mut controls = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(control) = controls.get_mut(pool) {
            return use_control(control);
        }
        use_control(controls.entry(pool.to_owned()).or_default())
    }
}
