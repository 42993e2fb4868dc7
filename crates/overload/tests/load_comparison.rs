//! Value to callers under overload, with and without refusals, against other orders of service.
//! `cargo test -p overload --test load_comparison -- --nocapture --test-threads 1` prints the table of
//! docs/design/overload.md.

mod support;

use support::{
    caller::{Kind, Ms},
    engine::Order,
    fleet::{Fleet, Load},
    report::Report,
};

/// Calls per second that an engine starts in time if half of them have long prompts.
const ROOM_PER_S: f64 = 27.0;
const SHORT_PEAK_MS: Ms = 4_000.0;
const LONG_PEAK_MS: Ms = 20_000.0;

/// A load of `factor` times the room, for `peak_ms`.
fn load(factor: f64, peak_ms: Ms) -> Load {
    Load {
        order: Order::Priority,
        has_control: true,
        slots_count: 24,
        normal_per_s: ROOM_PER_S * 0.6,
        peak_per_s: ROOM_PER_S * factor,
        peak_from_ms: 2_000.0,
        peak_until_ms: 2_000.0 + peak_ms,
        until_ms: 6_000.0 + peak_ms,
        long_share: 0.5,
        first_account_share: 0.125,
        retries_at_once: false,
        half_gone_ms: None,
        seed: 7,
    }
}

fn print_row(name: &str, report: &Report) {
    print!("| {name} | {:.3} |", report.all().value_share());
    for kind in Kind::ALL {
        let of_kind = report.kind(kind);
        let in_time_share = of_kind.in_time_count / of_kind.calls_count;
        let (value_share, served_share) = (of_kind.value_share(), of_kind.served_share());
        print!(" {value_share:.3} | {in_time_share:.3} | {served_share:.3} |");
    }
    println!(" {} |", report.refusals_count);
}

/// Prints the rows of a load. Returns the reports with refusals and of the other orders of service.
fn compare(name: &str, load: &Load) -> (Report, Vec<Report>) {
    println!("{name}");
    let orders = [
        ("first come, first served", Order::FirstCome),
        ("strict priority", Order::Priority),
        ("earliest deadline first", Order::Deadline),
        ("least work first", Order::LeastWork),
    ];
    let run = |(name, order)| {
        let has_control = false;
        let report = Fleet::run(Load {
            order,
            has_control,
            ..load.clone()
        });
        print_row(name, &report);
        report
    };
    let others = orders.into_iter().map(run).collect();
    let report = Fleet::run(load.clone());
    print_row("refusals", &report);
    (report, others)
}

/// Checks what holds under every overload.
fn check(name: &str, load: &Load) -> (Report, Vec<Report>) {
    let (report, others) = compare(name, load);
    assert!(report.refusals_count > 0, "{name}: nothing is refused");
    assert_eq!(
        report.refusals_with_room_count, 0,
        "{name}: refused with over half of the slots free"
    );
    assert!(report.max_retry_part <= 1.0 / 3.0, "{name}: long wait");
    let value = report.all().value;
    let best = others.iter().map(|it| it.all().value);
    let best = best.fold(0.0, f64::max);
    assert!(value > best, "{name}: worth {value}, others {best}");
    let [urgent, other] = Kind::ALL.map(|kind| report.kind(kind));
    let excess = other.served_share() - urgent.served_share();
    assert!(
        excess <= 0.05,
        "{name}: less urgent calls are served more often by {excess}"
    );
    let excess = other.value_share() - urgent.value_share();
    assert!(
        excess <= 0.15,
        "{name}: less urgent calls earn more by {excess}"
    );
    assert!(
        other.served_share() > 0.1,
        "{name}: less urgent calls starve"
    );
    (report, others)
}

#[test]
fn refusals_are_worth_more_than_any_order_of_service() {
    for slots_count in [24, 48] {
        for factor in [1.2, 1.7, 3.0] {
            for peak_ms in [SHORT_PEAK_MS, LONG_PEAK_MS] {
                let name = format!("{slots_count} slots, {factor} times the room, {peak_ms} ms");
                let load = Load {
                    slots_count,
                    ..load(factor, peak_ms)
                };
                check(&name, &load);
            }
        }
    }
}

/// Guards against constants that fit one mix of calls only.
#[test]
fn refusals_are_worth_more_with_other_mixes_of_calls() {
    for (long_share, peak_per_s) in [(0.1, 55.0), (0.1, 90.0), (0.9, 18.0), (0.9, 35.0)] {
        let name = format!("{long_share} of the calls long, {peak_per_s} a second and engine");
        let load = Load {
            long_share,
            peak_per_s,
            normal_per_s: peak_per_s / 3.0,
            ..load(1.0, LONG_PEAK_MS)
        };
        check(&name, &load);
    }
}

/// Guards against refusals that only noise in the estimates causes.
#[test]
fn nothing_is_refused_while_there_is_room() {
    let (report, _) = compare("0.7 times the room", &load(0.7, LONG_PEAK_MS));
    assert_eq!(report.refusals_count, 0);
}

#[test]
fn account_with_most_calls_pays_for_the_overload() {
    let load = Load {
        first_account_share: 0.7,
        ..load(1.7, LONG_PEAK_MS)
    };
    let (report, others) = check("one account sends 0.7 of the calls", &load);
    for kind in Kind::ALL {
        let heavy = report.select(|it| it.kind == kind && it.account == 0);
        let light = |report: &Report| {
            let outcomes = report.select(|it| it.kind == kind && it.account != 0);
            outcomes.value_share()
        };
        let light_share = light(&report);
        println!(
            "{kind:?}: value share of the heavy account {:.3}, of the others {light_share:.3}",
            heavy.value_share()
        );
        assert!(light_share >= heavy.value_share(), "{kind:?}");
        assert!(
            others.iter().all(|it| light_share > light(it)),
            "{kind:?}: light accounts are worse off than without refusals"
        );
    }
}

/// Guards against refusals that callers turn into more load.
#[test]
fn callers_that_come_back_at_once_do_no_harm() {
    let load = Load {
        retries_at_once: true,
        ..load(1.7, LONG_PEAK_MS)
    };
    check("retries at once, 1.7 times the room", &load);
}

#[test]
fn loss_of_half_of_the_engines_is_met() {
    let load = Load {
        half_gone_ms: Some(4_000.0),
        ..load(0.9, LONG_PEAK_MS)
    };
    check("half of the engines gone, 0.9 times the former room", &load);
}
