//! Random faults of a whole system, often two at once.

use {
    super::world::World,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    standin::{Server, relay::Relay},
    std::time::Duration,
    tokio::time::sleep,
};

/// Longest time that one fault lasts, in milliseconds.
const MAX_FAULT_MS: u64 = 1_500;
/// Kinds of fault.
const KINDS_COUNT: u32 = 11;

/// Switches faults on and off until `rounds_count` rounds are over; then all are off.
pub async fn disturb(
    world: &mut World,
    relay: &Server<Relay>,
    random: &mut ChaCha8Rng,
    rounds_count: usize,
) {
    for _ in 0..rounds_count {
        let kinds = [
            random.random_range(0..KINDS_COUNT),
            random.random_range(0..KINDS_COUNT),
        ];
        let entry = random.random_range(0..world.entries.len());
        for kind in kinds {
            begin(world, relay, kind, entry);
        }
        sleep(Duration::from_millis(
            random.random_range(100..MAX_FAULT_MS),
        ))
        .await;
        heal(world, relay).await;
        sleep(Duration::from_millis(random.random_range(0..300))).await;
    }
}

fn begin(world: &mut World, relay: &Server<Relay>, kind: u32, entry: usize) {
    match kind {
        0 => kv(world, &json!({"lose_answers": 2})),
        1 => kv(world, &json!({"down": true})),
        2 => kv(world, &json!({"hang": true})),
        3 => kv(world, &json!({"delay_ms": 200})),
        4 => world.entries[entry % world.entries.len()].signal("STOP"),
        5 => drop(world.entries.swap_remove(entry % world.entries.len())),
        6 => service(world, &json!({"cut_after_run": 2})),
        7 => service(world, &json!({"cut_before_run": 2})),
        8 => service(world, &json!({"refuse": 2})),
        9 => relay
            .set_faults(&json!({"mode": "blackhole_all"}))
            .expect("a switch"),
        _ => relay.set_faults(&json!({"mode": "cut"})).expect("a switch"),
    }
}

/// Switches all faults off; a new entry takes the place of one that was killed.
async fn heal(world: &mut World, relay: &Server<Relay>) {
    kv(
        world,
        &json!({"lose_answers": 0, "down": false, "hang": false, "delay_ms": 0}),
    );
    service(
        world,
        &json!({"cut_after_run": 0, "cut_before_run": 0, "refuse": 0}),
    );
    relay
        .set_faults(&json!({"mode": "pass"}))
        .expect("a switch");
    for entry in &world.entries {
        entry.signal("CONT");
    }
    while world.entries.len() < world.settings.entries_count {
        world.add_entry().await.expect("an entry starts");
    }
}

fn kv(world: &World, faults: &Value) {
    world.kv.set_faults(faults).expect("a switch");
}

fn service(world: &World, faults: &Value) {
    world.service.set_faults(faults).expect("a switch");
}
