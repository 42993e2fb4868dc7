//! `rattan trace`: reconstructs the path of a call from logs.

use {
    super::{ClientError, Exit, options::TraceCall, output::print},
    eventlog::TraceReader,
    std::{
        fs::File,
        io::{BufReader, stdin},
    },
};

/// Reads the logs and prints every place where they mention the call.
pub(super) fn run(options: &TraceCall) -> Result<Exit, ClientError> {
    let mut trace = TraceReader::new(options.request.clone());
    for file in &options.logs {
        let unreadable = |error| ClientError::usage(&format!("{file}: {error}; check the path"));
        let log = File::open(file).map_err(unreadable)?;
        trace.read(BufReader::new(log)).map_err(unreadable)?;
    }
    if options.logs.is_empty() {
        let read = trace.read(BufReader::new(stdin()));
        read.map_err(|error| ClientError::usage(&format!("standard input: {error}")))?;
    }
    for call_trace in trace.call_traces() {
        print(&call_trace.text());
    }
    if trace.unreadable_count() > 0 {
        print(&format!(
            "{} torn lines were left out",
            trace.unreadable_count()
        ));
    }
    if trace.call_traces().is_empty() {
        return Ok(Exit::NotFound);
    }
    Ok(Exit::Ok)
}
