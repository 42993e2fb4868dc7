//! A call is found in logs, with the state that its process had at the time.

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
fn call_is_shown_with_the_state_of_its_process() {
    let mut reader = TraceReader::new("9c41");
    reader.read(LOG.as_bytes()).unwrap();
    let call_traces = reader.call_traces();
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
    assert_eq!(reader.unreadable_count(), 1);
}

#[test]
fn invalid_utf8_is_skipped() {
    let mut reader = TraceReader::new("9c41");
    reader.read(&b"\xff\xfe{\"time_ms\"\xff\n"[..]).unwrap();
    reader.read(LOG.as_bytes()).unwrap();
    assert_eq!(reader.call_traces().len(), 1);
}

#[test]
fn stream_whose_process_crashed_is_found_by_its_under_way_event() {
    let log = LOG.replace(
        "\"event\":\"call\",\"request_id\":\"9c41\"",
        "\"event\":\"under_way\",\"request_id\":\"9c41\"",
    );
    let mut reader = TraceReader::new("9c41");
    reader.read(log.as_bytes()).unwrap();
    let call_traces = reader.call_traces();
    assert!(
        call_traces[0].text().contains("still under way"),
        "{call_traces:?}"
    );
}
