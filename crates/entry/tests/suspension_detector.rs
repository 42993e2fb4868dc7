//! How old a response of the key-value service may be when it is read after a suspension.

use {entry::SuspensionDetector, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn response_is_current_without_a_suspension() {
    let mut detector = SuspensionDetector::new(ms(0));
    for at in [250, 500, 750] {
        detector.tick(ms(at));
    }
    assert_eq!(detector.answer_received(ms(900)), ms(900));
}

#[test]
fn response_read_after_a_suspension_counts_from_before_it() {
    let mut detector = SuspensionDetector::new(ms(0));
    detector.tick(ms(250));
    assert_eq!(detector.answer_received(ms(3_050)), ms(250));
    assert_eq!(
        detector.answer_received(ms(3_100)),
        ms(3_100),
        "requested after the suspension"
    );
}

#[test]
fn suspension_noticed_before_the_response_counts() {
    let mut detector = SuspensionDetector::new(ms(0));
    detector.tick(ms(2_800));
    detector.tick(ms(2_810));
    assert_eq!(detector.answer_received(ms(2_820)), ms(0));
}
