//! Guards against a link that was once measured as slow never being used again: the measurement
//! decays with time.

use {fleet::LinkRate, std::time::Duration};

#[test]
fn an_old_measurement_decays_to_the_configured_rate() {
    let configured = LinkRate::configured(10_000_000);
    let mut rate = configured;
    rate.record_transfer(100_000, 1.0);
    assert!((rate.mean_bytes_per_s - 100_000.0).abs() < 1.0);
    let now = rate.decayed(configured, Duration::ZERO);
    assert!((now.mean_bytes_per_s - 100_000.0).abs() < 1.0);
    let soon = rate.decayed(configured, Duration::from_secs(1));
    assert!(soon.mean_bytes_per_s < 1_500_000.0);
    let late = rate.decayed(configured, Duration::from_mins(1));
    assert!(late.mean_bytes_per_s > 9_900_000.0);
    assert!(late.is_measured);
}
