//! Faults of one instance's or operator's way to the key-value service.

use {
    keyvalue::{KvFaults, MemoryKv},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay of every call of an operator, so that faults strike between the calls of one change too.
pub const USUAL_DELAY: Duration = Duration::from_millis(100);
/// Faults that [`disturb`] chooses from.
const KINDS_COUNT: u32 = 9;

/// Brings about one fault, which heals by itself.
pub fn disturb(kv: &MemoryKv, rng: &mut ChaCha8Rng) {
    let lasts = Duration::from_millis(rng.random_range(200..4_000));
    let delay = Duration::from_millis(rng.random_range(50..1_500));
    match rng.random_range(0..KINDS_COUNT) {
        0 => kv.set_faults(|faults| faults.lost_answer_count += 1),
        1 => kv.set_faults(|faults| faults.lost_call_count += 1),
        2 => kv.set_faults(|faults| {
            faults.late_call_count += 1;
            faults.late_call_delay = delay;
        }),
        3 => kv.cut_watches(),
        4 => kv.set_faults(|faults| faults.lost_read_count += 1),
        5 => for_a_while(kv, lasts, |faults, on| faults.unreachable = on),
        6 => for_a_while(kv, lasts, |faults, on| faults.paused = on),
        7 => for_a_while(kv, lasts, |faults, on| faults.watches_silent = on),
        _ => for_a_while(kv, lasts, move |faults, on| {
            let (call, answer) = if on {
                (delay / 4, delay)
            } else {
                Default::default()
            };
            faults.call_delay = call;
            faults.answer_delay = answer;
        }),
    }
}

/// Switches everything off.
pub fn heal(kv: &MemoryKv) {
    kv.set_faults(|faults| *faults = KvFaults::default());
}

fn for_a_while<Switch>(kv: &MemoryKv, lasts: Duration, switch: Switch)
where
    Switch: Fn(&mut KvFaults, bool) + Send + 'static,
{
    kv.set_faults(|faults| switch(faults, true));
    let kv = kv.clone();
    tokio::spawn(async move {
        sleep(lasts).await;
        kv.set_faults(|faults| switch(faults, false));
    });
}
