//! Injects random faults into a test system, up to two at a time.

use {
    super::test_system::TestSystem,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    standin::{Server, relay::Relay},
    std::time::Duration,
    tokio::time::sleep,
};

/// Upper bound of the duration of a fault.
const MAX_FAULT_MS: u64 = 1_500;
/// Number of kinds of faults.
const KINDS_COUNT: u32 = 11;

/// Runs `rounds_count` rounds of random faults. Afterwards all faults are cleared.
pub async fn inject_faults(
    system: &mut TestSystem,
    relay: &Server<Relay>,
    random: &mut ChaCha8Rng,
    rounds_count: usize,
) {
    for _ in 0..rounds_count {
        let kinds = [
            random.random_range(0..KINDS_COUNT),
            random.random_range(0..KINDS_COUNT),
        ];
        let entry = random.random_range(0..system.entries.len());
        for kind in kinds {
            start_fault(system, relay, kind, entry);
        }
        sleep(Duration::from_millis(
            random.random_range(100..MAX_FAULT_MS),
        ))
        .await;
        clear_faults(system, relay).await;
        sleep(Duration::from_millis(random.random_range(0..300))).await;
    }
}

fn start_fault(system: &mut TestSystem, relay: &Server<Relay>, kind: u32, entry: usize) {
    match kind {
        0 => set_kv_faults(system, &json!({"lose_answers": 2})),
        1 => set_kv_faults(system, &json!({"down": true})),
        2 => set_kv_faults(system, &json!({"hang": true})),
        3 => set_kv_faults(system, &json!({"delay_ms": 200})),
        4 => system.entries[entry % system.entries.len()].signal("STOP"),
        5 => drop(system.entries.swap_remove(entry % system.entries.len())),
        6 => set_service_faults(system, &json!({"cut_after_run": 2})),
        7 => set_service_faults(system, &json!({"cut_before_run": 2})),
        8 => set_service_faults(system, &json!({"refuse": 2})),
        9 => relay
            .set_faults(&json!({"mode": "blackhole_all"}))
            .expect("known faults"),
        _ => relay
            .set_faults(&json!({"mode": "cut"}))
            .expect("known faults"),
    }
}

/// Clears all faults and replaces killed entries with new ones.
async fn clear_faults(system: &mut TestSystem, relay: &Server<Relay>) {
    set_kv_faults(
        system,
        &json!({"lose_answers": 0, "down": false, "hang": false, "delay_ms": 0}),
    );
    set_service_faults(
        system,
        &json!({"cut_after_run": 0, "cut_before_run": 0, "refuse": 0}),
    );
    relay
        .set_faults(&json!({"mode": "pass"}))
        .expect("known faults");
    for entry in &system.entries {
        entry.signal("CONT");
    }
    while system.entries.len() < system.settings.entries_count {
        system.add_entry().await.expect("an entry starts");
    }
}

fn set_kv_faults(system: &TestSystem, faults: &Value) {
    system.kv.set_faults(faults).expect("known faults");
}

fn set_service_faults(system: &TestSystem, faults: &Value) {
    system.service.set_faults(faults).expect("known faults");
}
