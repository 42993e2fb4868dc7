//! Switches that turn faults on and off.

use {
    crate::sync::lock,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    snafu::Snafu,
    std::sync::Mutex,
    tokio::sync::watch,
};

/// Fault switches that every stand-in has.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CommonFaults {
    /// Closes open connections at once and new ones at their first request.
    pub down: bool,
    /// Delay of every response in milliseconds.
    pub delay_ms: u64,
    /// Accepts connections but never answers requests.
    pub hang: bool,
}

/// Reason why a fault switch could not be set.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FaultError {
    /// The body is not a JSON object.
    #[snafu(display("faults must be a JSON object of switches, for example {{\"down\": true}}"))]
    NotAnObject,
    /// The stand-in has no such switch.
    #[snafu(display("unknown switch {name:?}; GET /fault lists the switches of this role"))]
    UnknownSwitch {
        /// Name of the unknown switch.
        name: String,
    },
    /// The value has the wrong type.
    #[snafu(display("switch has a wrong value: {reason}; GET /fault shows the types"))]
    WrongValue {
        /// Error message of the JSON decoder.
        reason: String,
    },
}

/// The current values of a set of fault switches. Every change wakes the tasks that wait.
#[derive(Debug)]
pub struct FaultSwitches<Faults> {
    current: Mutex<Faults>,
    changes_count: watch::Sender<u64>,
}

impl<Faults> Default for FaultSwitches<Faults>
where
    Faults: Default,
{
    fn default() -> Self {
        Self {
            current: Mutex::default(),
            changes_count: watch::Sender::new(0),
        }
    }
}

impl<Faults> FaultSwitches<Faults>
where
    Faults: Clone + DeserializeOwned + Serialize,
{
    /// The current values.
    #[must_use]
    pub fn get(&self) -> Faults {
        lock(&self.current).clone()
    }

    /// Changes the values, wakes all waiters, and returns the result of `change`.
    pub fn update<Output, Change>(&self, change: Change) -> Output
    where
        Change: FnOnce(&mut Faults) -> Output,
    {
        let output = change(&mut lock(&self.current));
        self.changes_count.send_modify(|count| *count += 1);
        output
    }

    /// Waits until the values satisfy `condition`.
    pub async fn wait_for<Condition>(&self, condition: Condition)
    where
        Condition: Fn(&Faults) -> bool,
    {
        let mut changes = self.changes_count.subscribe();
        while !condition(&lock(&self.current)) {
            // The sender lives as long as `self`, so this cannot fail.
            let _ = changes.changed().await;
        }
    }

    /// The current values as a JSON object.
    pub(crate) fn to_map(&self) -> Map<String, Value> {
        match serde_json::to_value(self.get()) {
            Ok(Value::Object(map)) => map,
            _ => Map::new(),
        }
    }

    /// Sets the switches named in `changes` and returns the entries that name no switch of this
    /// set.
    pub(crate) fn merge(
        &self,
        changes: Map<String, Value>,
    ) -> Result<Map<String, Value>, FaultError> {
        let mut merged = self.to_map();
        let mut rest = Map::new();
        for (name, value) in changes {
            if merged.contains_key(&name) {
                merged.insert(name, value);
            } else {
                rest.insert(name, value);
            }
        }
        let faults = serde_json::from_value(Value::Object(merged)).map_err(|error| {
            FaultError::WrongValue {
                reason: error.to_string(),
            }
        })?;
        self.update(|current| *current = faults);
        Ok(rest)
    }
}
