//! Time that emitting the event of an answered call takes on the calling thread.
//!
//! `cargo bench -p eventlog`

use {
    criterion::{Criterion, criterion_group, criterion_main},
    eventlog::{AttemptLine, CallLine, Event, EventLog},
    std::{hint::black_box, io},
};

fn call() -> Event {
    Event::Call(CallLine {
        request_id: "9c41d07be2a35f68".to_owned(),
        route: "template-review".to_owned(),
        account: "countertop-chain".to_owned(),
        status: 200,
        outcome: "answered",
        took_ms: 412,
        attempts: vec![AttemptLine {
            target: "i-7f3a91c2".to_owned(),
            in_flight_count: 4.0,
            candidates_count: 18,
            outcome: "answered 200".to_owned(),
            ..AttemptLine::default()
        }],
        ..CallLine::default()
    })
}

fn line_cost(criterion: &mut Criterion) {
    let log = EventLog::start(io::sink());
    let event = call();
    criterion.bench_function("line of an answered call", |bencher| {
        bencher.iter(|| log.emit(black_box(&event)));
    });
}

criterion_group!(benches, line_cost);
criterion_main!(benches);
