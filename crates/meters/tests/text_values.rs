//! The exported text: counters per kind, gauges, histograms, and the limit on the number of series.

use {meters::Meters, std::time::Duration};

#[test]
fn counters_are_summed_per_kind_and_gauges_keep_the_last_value() {
    let meters = Meters::new();
    for _ in 0..3 {
        meters.count("calls", "refused");
    }
    meters.count("calls", "answered");
    meters.gauge("targets", 18);
    meters.gauge("targets", 17);
    let text = meters.prometheus_text();
    assert!(
        text.contains("rattan_calls_total{kind=\"refused\"} 3\n"),
        "{text}"
    );
    assert!(text.contains("rattan_calls_total{kind=\"answered\"} 1\n"));
    assert!(text.contains("rattan_targets 17\n"));
}

#[test]
fn durations_are_exported_with_quantiles_sum_and_count() {
    let meters = Meters::new();
    for duration_ms in 1..=100 {
        meters.time("first_byte", Duration::from_millis(duration_ms));
    }
    let text = meters.prometheus_text();
    assert!(
        text.contains("rattan_first_byte_ms{quantile=\"0.5\"} 50\n"),
        "{text}"
    );
    assert!(text.contains("rattan_first_byte_ms_sum 5050\n"));
    assert!(text.contains("rattan_first_byte_ms_count 100\n"));
}

#[test]
fn series_beyond_the_limit_are_dropped_and_counted() {
    let meters = Meters::new();
    for kind in 0..1_000 {
        meters.count("calls", &kind.to_string());
    }
    let text = meters.prometheus_text();
    assert!(text.lines().count() <= 201, "{}", text.lines().count());
    assert!(text.contains("rattan_meters_dropped_total 800\n"), "{text}");
}

#[test]
fn series_of_durations_beyond_the_limit_are_dropped_and_counted() {
    let meters = Meters::new();
    for name in 0..1_000 {
        meters.time(&format!("wait_{name}"), Duration::from_millis(1));
    }
    meters.time("wait_0", Duration::from_millis(1));
    let text = meters.prometheus_text();
    assert!(text.contains("rattan_meters_dropped_total 800\n"), "{text}");
    assert!(text.contains("rattan_wait_0_ms_count 2\n"), "{text}");
}
