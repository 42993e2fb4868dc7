//! Faults in the connection of one instance or operator to the key-value service.

use {
    keyvalue::{KvFaults, MemoryKv},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay of every call of an operator, so that faults also occur between the calls of one change.
pub const OPERATOR_CALL_DELAY: Duration = Duration::from_millis(100);
/// Number of faults that [`inject_fault`] chooses from.
const FAULT_KINDS_COUNT: u32 = 9;

/// Injects a random fault, which ends by itself.
pub fn inject_fault(kv: &MemoryKv, rng: &mut ChaCha8Rng) {
    let duration = Duration::from_millis(rng.random_range(200..4_000));
    let delay = Duration::from_millis(rng.random_range(50..1_500));
    match rng.random_range(0..FAULT_KINDS_COUNT) {
        0 => kv.set_faults(|faults| faults.lost_answer_count += 1),
        1 => kv.set_faults(|faults| faults.lost_call_count += 1),
        2 => kv.set_faults(|faults| {
            faults.late_call_count += 1;
            faults.late_call_delay = delay;
        }),
        3 => kv.cut_watches(),
        4 => kv.set_faults(|faults| faults.lost_read_count += 1),
        5 => set_temporarily(kv, duration, |faults, on| faults.unreachable = on),
        6 => set_temporarily(kv, duration, |faults, on| faults.paused = on),
        7 => set_temporarily(kv, duration, |faults, on| faults.watches_silent = on),
        _ => set_temporarily(kv, duration, move |faults, on| {
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

/// Ends all faults of a connection.
pub fn clear_faults(kv: &MemoryKv) {
    kv.set_faults(|faults| *faults = KvFaults::default());
}

/// Sets a fault for some time, then resets it.
fn set_temporarily<Switch>(kv: &MemoryKv, duration: Duration, switch: Switch)
where
    Switch: Fn(&mut KvFaults, bool) + Send + 'static,
{
    kv.set_faults(|faults| switch(faults, true));
    let kv = kv.clone();
    tokio::spawn(async move {
        sleep(duration).await;
        kv.set_faults(|faults| switch(faults, false));
    });
}
