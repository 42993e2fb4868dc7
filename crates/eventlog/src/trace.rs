//! Finds a call in the event logs of one or several processes, with the state each process had
//! then.

use {
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
        io::{BufRead, Result},
    },
};

/// Start of the JSON in a line. The last word before it names the process.
const JSON_START: &str = "{\"time_ms\"";
/// Text that marks the line of a stream that has not ended.
const UNDER_WAY: &str = "\"event\":\"under_way\"";
/// Events that change the state of a process.
const STATE_EVENTS: [&str; 9] = [
    "started",
    "draining",
    "configuration",
    "version",
    "target",
    "holder",
    "dependency",
    "instances",
    "note",
];
/// Most state events listed with a call.
const MAX_STATE_EVENTS_COUNT: usize = 12;

/// Name of a process in the logs; empty if its log has no name before the JSON.
type Process = String;

/// One call, as found in the log of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct CallTrace {
    /// Process that wrote the line.
    pub process: Process,
    /// Time at which the line was written, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The `call` or `under_way` event.
    pub call: Value,
    /// The latest events before it that changed the state of the process, oldest first.
    pub state_events: Vec<Value>,
}

/// Searches event logs for one call.
#[derive(Debug, Default)]
pub struct TraceReader {
    request_id: String,
    /// Latest state event for each subject, per process.
    process_states: HashMap<Process, BTreeMap<String, Value>>,
    call_traces: Vec<CallTrace>,
    unreadable_count: u64,
}

impl TraceReader {
    /// Creates a reader that searches for the call with this request id.
    #[must_use]
    pub fn new(request_id: impl Into<String>) -> Self {
        Self {
            request_id: request_id.into(),
            ..Self::default()
        }
    }

    /// Reads a log to its end. Lines without JSON are skipped; relevant lines with invalid JSON,
    /// for example truncated ones, are skipped and counted.
    ///
    /// # Errors
    /// Returns the I/O error if the log cannot be read.
    pub fn read<Log>(&mut self, mut log: Log) -> Result<()>
    where
        Log: BufRead,
    {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            self.read_line(&String::from_utf8_lossy(&bytes));
        }
    }

    /// Returns every occurrence of the call, in order of time.
    #[must_use]
    pub fn call_traces(&self) -> Vec<&CallTrace> {
        let mut call_traces: Vec<&CallTrace> = self.call_traces.iter().collect();
        call_traces.sort_by_key(|call_trace| call_trace.time_ms);
        call_traces
    }

    /// Returns the number of lines with invalid JSON.
    #[must_use]
    pub fn unreadable_count(&self) -> u64 {
        self.unreadable_count
    }

    fn read_line(&mut self, line: &str) {
        let Some(start) = line.find(JSON_START) else {
            return;
        };
        let (before, json) = line.split_at(start);
        let is_call = json.contains(&self.request_id)
            && (json.contains("\"event\":\"call\"") || json.contains(UNDER_WAY));
        let is_state = STATE_EVENTS
            .iter()
            .any(|event| json.contains(&format!("\"event\":\"{event}\"")));
        if !is_call && !is_state {
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(json) else {
            self.unreadable_count += 1;
            return;
        };
        let process = before.split_whitespace().last().unwrap_or_default();
        if value["event"] == "call" || value["event"] == "under_way" {
            if value["request_id"] == self.request_id.as_str() {
                self.add_call_trace(process, value);
            }
            return;
        }
        let process_state = self.process_states.entry(process.to_owned()).or_default();
        if value["event"] == "started" {
            process_state.clear();
        }
        process_state.insert(subject(&value), value);
    }

    fn add_call_trace(&mut self, process: &str, call: Value) {
        let mut state_events: Vec<Value> = self
            .process_states
            .get(process)
            .map(|process_state| process_state.values().cloned().collect())
            .unwrap_or_default();
        let attempts = call["attempts"].as_array().cloned().unwrap_or_default();
        let was_attempted = |target: &Value| attempts.iter().any(|it| it["target"] == *target);
        state_events.retain(|line| line["event"] != "target" || was_attempted(&line["target"]));
        state_events.sort_by_key(|line| line["time_ms"].as_u64());
        let surplus = state_events.len().saturating_sub(MAX_STATE_EVENTS_COUNT);
        state_events.drain(..surplus);
        self.call_traces.push(CallTrace {
            process: process.to_owned(),
            time_ms: call["time_ms"].as_u64().unwrap_or_default(),
            call,
            state_events,
        });
    }
}

impl CallTrace {
    /// Formats the course of the call as text of several lines.
    #[must_use]
    pub fn text(&self) -> String {
        let call = &self.call;
        let mut text = String::new();
        let took_ms = call["took_ms"].as_u64().unwrap_or_default();
        let started_at_ms = self.time_ms.saturating_sub(took_ms);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{} took the call of route {} and account {} at {started_at_ms} ms",
            display_name(&self.process),
            call["route"],
            call["account"],
        );
        let _ = writeln!(
            text,
            "  it knew configuration {}, confirmed {} ms before, and {} instances; {} ms were left",
            call["configuration"],
            call["view_age_ms"],
            call["instances_count"],
            call["time_limit_ms"],
        );
        if call["is_forwarded"] == true {
            let _ = writeln!(text, "  another instance passed it on");
        }
        if let Some(peer) = call["forwarded_to"].as_str().filter(|it| !it.is_empty()) {
            let _ = writeln!(text, "  it passed the call on to {peer}");
        }
        if call["resumes"].as_str().is_some_and(|id| !id.is_empty()) {
            let _ = writeln!(
                text,
                "  it resumes the stream of {}, begun at software version {} ({})",
                call["resumes"], call["origin_version"], call["origin_source"],
            );
        }
        for line in &self.state_events {
            let age_ms = self
                .time_ms
                .saturating_sub(line["time_ms"].as_u64().unwrap_or_default());
            let _ = writeln!(text, "  {age_ms} ms before the end: {}", without_time(line));
        }
        for attempt in call["attempts"].as_array().into_iter().flatten() {
            let _ = writeln!(
                text,
                "  +{} ms: target {} (software {}), of {}, with {} calls under way; fetch {}, save {}, read {} \
                 tokens: {}",
                attempt["at_ms"],
                attempt["target"],
                attempt["software_version"],
                attempt["candidates_count"],
                attempt["in_flight_count"],
                attempt["fetch_tokens"],
                attempt["save_tokens"],
                attempt["read_tokens"],
                attempt["outcome"],
            );
        }
        let _ = writeln!(
            text,
            "  +{} ms: first byte to the caller, status {}; {} events, the last at +{} ms",
            call["first_byte_ms"], call["status"], call["events_count"], call["last_event_ms"],
        );
        if call["event"] == "under_way" {
            let _ = writeln!(text, "  +{took_ms} ms: still under way");
            return text;
        }
        let _ = writeln!(
            text,
            "  +{took_ms} ms: {} {}",
            call["outcome"], call["reason"]
        );
        text
    }
}

/// Returns what a state event is about. A later event with the same subject replaces it.
fn subject(line: &Value) -> String {
    let object = ["target", "model", "name", "part"]
        .iter()
        .find_map(|field| line[*field].as_str());
    format!("{} {}", line["event"], object.unwrap_or_default())
}

fn without_time(line: &Value) -> Value {
    let mut line = line.clone();
    if let Some(fields) = line.as_object_mut() {
        fields.remove("time_ms");
    }
    line
}

fn display_name(process: &str) -> &str {
    if process.is_empty() {
        "the instance"
    } else {
        process
    }
}
