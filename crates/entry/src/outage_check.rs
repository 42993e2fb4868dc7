//! After an outage of the key-value service, finds out whether the service was away or only this
//! instance could not reach it. In the second case no registration has expired because of it.

use {
    crate::shared::Shared,
    catalog::InstanceId,
    eventlog::Event,
    feed::ask_service_gap,
    futures::{StreamExt, stream::FuturesUnordered},
    rand::seq::IteratorRandom,
    relay::boot_time,
    std::{sync::Arc, time::Duration},
};

/// Number of instances that are asked. One that had word from the service throughout is enough.
const ASKED_COUNT: usize = 4;

/// Asks other instances about an outage in which this one had no word from the service for `silence`.
/// Removes what was kept because its registration may have expired, if one of them shows that it has
/// not.
pub(crate) async fn run<Kv, Format>(shared: Arc<Shared<Kv, Format>>, silence: Duration)
where
    Kv: Send + Sync + 'static,
    Format: Send + Sync + 'static,
{
    let others = shared.other_feeds().into_iter();
    let asked = others.sample(&mut rand::rng(), ASKED_COUNT);
    let asked_count = asked.len();
    let mut answers: FuturesUnordered<_> = asked
        .into_iter()
        .map(|(name, address)| async move { (name, ask_service_gap(address, silence).await) })
        .collect();
    let mut witness = InstanceId::new();
    while let Some((name, answer)) = answers.next().await {
        match answer {
            Ok(gap) => {
                if shared.known().note_gap_of_other(gap, boot_time()) {
                    shared.publish();
                    witness = name;
                    break;
                }
            }
            Err(error) => log::info!("{name} does not tell whether the service was there: {error}"),
        }
    }
    shared.log.emit(&Event::Outage {
        silence_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
        asked_count,
        witness,
    });
}
