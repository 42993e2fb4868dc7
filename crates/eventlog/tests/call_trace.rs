//! A call is found in logs, with what the process believed then.

use eventlog::TraceReader;

const LOG: &str = r#"
1.0 front-a {"time_ms":1000,"event":"started","instance":"front-a","failure_domain":"a","version":"0"}
1.1 front-a {"time_ms":1100,"event":"dependency","name":"key-value service","available":false,"reason":"refused"}
1.2 front-a {"time_ms":1200,"event":"target","target":"i-1","state":"ready","pool":"p","address":"a","revision":7}
1.2 front-a {"time_ms":1200,"event":"target","target":"i-2","state":"ready","pool":"p","address":"b","revision":7}
1.2 front-b {"time_ms":1200,"event":"holder","held":true,"fencing":4,"reason":"nobody held it"}
1.3 front-a {"time_ms":1300,"event":"call","request_id":"other","route":"r","attempts":[]}
1.4 front-a {"time_ms":1400,"event":"call","request_id":"9c41","rou
1.5 front-a {"time_ms":1500,"event":"call","request_id":"9c41","route":"r","account":"chain","status":502,"outcome":"failed","reason":"the target broke off","took_ms":80,"first_byte_ms":79,"events_count":0,"last_event_ms":0,"time_limit_ms":3000,"configuration":7,"view_age_ms":400,"instances_count":4,"attempts":[{"target":"i-1","at_ms":1,"in_flight_count":4.0,"candidates_count":18,"fetch_tokens":0,"save_tokens":0,"read_tokens":0,"outcome":"unknown: reset"}]}
"#;

#[test]
fn call_is_told_with_what_its_process_believed() {
    let mut trace = TraceReader::new("9c41");
    trace.read(LOG.as_bytes()).unwrap();
    let call_traces = trace.call_traces();
    assert_eq!(call_traces.len(), 1);
    let text = call_traces[0].text();
    for part in [
        "front-a took",
        "unknown: reset",
        "key-value service",
        "i-1",
        "status 502",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    for part in ["i-2", "holder"] {
        assert!(
            !text.contains(part),
            "{part} has nothing to do with it: {text}"
        );
    }
    assert_eq!(trace.unreadable_count(), 1);
}

#[test]
fn bytes_that_are_no_text_are_passed_over() {
    let mut trace = TraceReader::new("9c41");
    trace.read(&b"\xff\xfe{\"time_ms\"\xff\n"[..]).unwrap();
    trace.read(LOG.as_bytes()).unwrap();
    assert_eq!(trace.call_traces().len(), 1);
}

#[test]
fn stream_whose_process_died_is_found_by_its_line_under_way() {
    let log = LOG.replace(
        "\"event\":\"call\",\"request_id\":\"9c41\"",
        "\"event\":\"under_way\",\"request_id\":\"9c41\"",
    );
    let mut trace = TraceReader::new("9c41");
    trace.read(log.as_bytes()).unwrap();
    let call_traces = trace.call_traces();
    assert!(
        call_traces[0].text().contains("still under way"),
        "{call_traces:?}"
    );
}
