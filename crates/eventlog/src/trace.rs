//! Finds a call in the logs of one or several processes, with what each process believed then.

use {
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
        io::{BufRead, Result},
    },
};

/// Where the JSON of a line begins; what stands before names the process.
const JSON_START: &str = "{\"time_ms\"";
/// What a line of a stream that has not ended contains.
const UNDER_WAY: &str = "\"event\":\"under_way\"";
/// Kinds of lines that change what a process believes.
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
/// Lines of state that are told with a call, per process.
const MAX_STATE_COUNT: usize = 12;

/// Name of a process in the logs; empty if each has a log of its own.
type Process = String;

/// One call in the log of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct CallTrace {
    /// Process that wrote the line.
    pub process: Process,
    /// When the line was written, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The line.
    pub call: Value,
    /// The last lines before it that changed what the process believed, the oldest first.
    pub state: Vec<Value>,
}

/// Looks for one call.
#[derive(Debug, Default)]
pub struct TraceReader {
    request_id: String,
    /// Last line of each kind and object, per process.
    believed: HashMap<Process, BTreeMap<String, Value>>,
    call_traces: Vec<CallTrace>,
    unreadable_count: u64,
}

impl TraceReader {
    /// Looks for the call with this id.
    #[must_use]
    pub fn new(request_id: impl Into<String>) -> Self {
        Self {
            request_id: request_id.into(),
            ..Self::default()
        }
    }

    /// Reads a log to its end. Lines that are torn or of another form are counted and left out.
    ///
    /// # Errors
    /// The error of reading.
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
            self.take(&String::from_utf8_lossy(&bytes));
        }
    }

    /// Where the call was seen, in order of time.
    #[must_use]
    pub fn call_traces(&self) -> Vec<&CallTrace> {
        let mut call_traces: Vec<&CallTrace> = self.call_traces.iter().collect();
        call_traces.sort_by_key(|call_trace| call_trace.time_ms);
        call_traces
    }

    /// Lines that could not be read.
    #[must_use]
    pub fn unreadable_count(&self) -> u64 {
        self.unreadable_count
    }

    fn take(&mut self, line: &str) {
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
                self.see(process, value);
            }
            return;
        }
        let believed = self.believed.entry(process.to_owned()).or_default();
        if value["event"] == "started" {
            believed.clear();
        }
        believed.insert(subject(&value), value);
    }

    fn see(&mut self, process: &str, call: Value) {
        let mut state: Vec<Value> = self
            .believed
            .get(process)
            .map(|believed| believed.values().cloned().collect())
            .unwrap_or_default();
        let attempts = call["attempts"].as_array().cloned().unwrap_or_default();
        let is_tried = |target: &Value| attempts.iter().any(|it| it["target"] == *target);
        state.retain(|line| line["event"] != "target" || is_tried(&line["target"]));
        state.sort_by_key(|line| line["time_ms"].as_u64());
        let surplus = state.len().saturating_sub(MAX_STATE_COUNT);
        state.drain(..surplus);
        self.call_traces.push(CallTrace {
            process: process.to_owned(),
            time_ms: call["time_ms"].as_u64().unwrap_or_default(),
            call,
            state,
        });
    }
}

impl CallTrace {
    /// The call's way, in words.
    #[must_use]
    pub fn text(&self) -> String {
        let call = &self.call;
        let mut text = String::new();
        let took_ms = call["took_ms"].as_u64().unwrap_or_default();
        let began_ms = self.time_ms.saturating_sub(took_ms);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{} took the call of route {} and account {} at {began_ms} ms",
            name(&self.process),
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
        for line in &self.state {
            let age_ms = self
                .time_ms
                .saturating_sub(line["time_ms"].as_u64().unwrap_or_default());
            let _ = writeln!(text, "  {age_ms} ms before the end: {}", without_time(line));
        }
        for attempt in call["attempts"].as_array().into_iter().flatten() {
            let _ = writeln!(
                text,
                "  +{} ms: target {}, of {}, with {} calls under way; fetch {}, save {}, read {} \
                 tokens: {}",
                attempt["at_ms"],
                attempt["target"],
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

/// What a line of state is about; a later line about the same replaces it.
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

fn name(process: &str) -> &str {
    if process.is_empty() {
        "the instance"
    } else {
        process
    }
}
