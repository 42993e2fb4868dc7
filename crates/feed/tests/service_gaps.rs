//! What an instance tells others of the times in which it had no word from the key-value service.

use {
    feed::{Feed, ServiceContact, ask_service_gap},
    proptest::prelude::{prop, prop_assert, proptest},
    relay::{RelayState, boot_time},
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An instance that had word from the service at these times, in milliseconds.
fn contact(times_ms: &[u64]) -> ServiceContact {
    let mut contact = ServiceContact::default();
    for at_ms in times_ms {
        contact.record(ms(*at_ms));
    }
    contact
}

#[test]
fn longest_gap_covers_the_time_asked_for_only() {
    let contact = contact(&[1_000, 8_000, 9_000, 12_000, 13_000]);
    assert_eq!(contact.longest_gap(ms(3_500), ms(13_100)), ms(3_000));
    assert_eq!(contact.longest_gap(ms(6_000), ms(13_100)), ms(7_000));
    assert_eq!(contact.longest_gap(ms(1_000), ms(13_100)), ms(1_000));
}

#[test]
fn time_since_the_last_word_counts_as_a_gap() {
    let contact = contact(&[1_000, 2_000]);
    assert_eq!(contact.longest_gap(ms(500), ms(7_000)), ms(5_000));
}

/// Guards against the word of an instance that started only after the outage began.
#[test]
fn instance_that_does_not_know_the_whole_time_vouches_for_nothing() {
    assert_eq!(contact(&[]).longest_gap(ms(9_000), ms(9_000)), ms(9_000));
    let late = contact(&[5_000, 6_000, 7_000]);
    assert_eq!(late.longest_gap(ms(4_000), ms(7_000)), ms(4_000));
    let long = Duration::from_hours(1);
    assert_eq!(late.longest_gap(long, ms(7_000)), long);
}

proptest! {
    #[test]
    fn no_gap_in_the_time_asked_for_is_missed(
        pauses_ms in prop::collection::vec(1_u64..6_000, 2..60),
        within_ms in 1_u64..100_000,
        rest_ms in 0_u64..6_000,
    ) {
        let mut contact = ServiceContact::default();
        let (mut at, mut longest) = (ms(200_000), Duration::ZERO);
        let mut times = vec![at];
        contact.record(at);
        for pause_ms in pauses_ms {
            at += ms(pause_ms);
            contact.record(at);
            times.push(at);
        }
        let now = at + ms(rest_ms);
        times.push(now);
        let since = now.saturating_sub(ms(within_ms));
        for pair in times.windows(2).filter(|pair| pair[1] > since) {
            longest = longest.max(pair[1].saturating_sub(pair[0].max(since)));
        }
        let told = contact.longest_gap(ms(within_ms), now);
        prop_assert!(told + ms(500) >= longest, "told {told:?}, was {longest:?}");
    }
}

#[tokio::test]
async fn other_instance_is_asked() {
    let listener = Arc::new(TcpListener::bind(("127.0.0.1", 0)).await.unwrap());
    let peer = listener.local_addr().unwrap();
    let feed = Arc::new(Feed::new(RelayState::default()));
    let stop = CancellationToken::new();
    let server = tokio::spawn(feed::serve(listener, feed.clone(), stop.clone()));
    let within = Duration::from_secs(5);
    assert_eq!(ask_service_gap(peer, within).await.unwrap(), within);
    let now = boot_time();
    feed.record_service_contact(now.saturating_sub(within * 2));
    feed.record_service_contact(now);
    assert!(ask_service_gap(peer, within).await.unwrap() >= within * 2);
    stop.cancel();
    server.await.unwrap();
    assert!(ask_service_gap(peer, within).await.is_err());
}
