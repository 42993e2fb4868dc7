//! A refusal that says "not run" is true.
//!
//! Engines and services keep what they ran; a request refused as `not_run` must not be among it,
//! whichever step of its attempts went wrong.

mod support;

#[path = "support/caller.rs"]
mod caller;

use {
    caller::{End, Seen, send},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    standin::{
        Server,
        engine::{Engine, EngineSettings},
        relay::{Relay, RelaySettings},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{
        objects::{self, CALLER_KEY, DIGEST, MODEL, SERVICE},
        world::{World, WorldSettings},
    },
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS: usize = 12;
const REQUESTS: usize = 25;

fn settings() -> WorldSettings {
    let mut settings = WorldSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 1;
    settings.flags = vec![
        ("service-timeout-ms", "300".to_owned()),
        ("load-interval-ms", "50".to_owned()),
    ];
    settings
}

async fn complete(address: SocketAddr, prompt: &str) -> Seen {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4, "stream": true});
    send(address, CALLER_KEY, "/v1/completions", &body, None).await
}

/// Ids of all requests of which an engine ran something.
fn ran<'a>(engines: impl IntoIterator<Item = &'a Arc<Engine>>) -> BTreeSet<String> {
    let audits = engines.into_iter().map(|engine| engine.audit());
    let runs = audits.flat_map(|audit| audit.runs);
    runs.map(|run| run.request_id).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_dies_in_a_prompt_may_have_run_it() {
    let mut settings = settings();
    settings.engines_count = 1;
    settings.engine.prefill_tokens_per_s = 1_000;
    let mut world = World::start(settings).await.expect("a world");
    let dying = world.engines.remove(0);
    let engine = Arc::clone(dying.role());
    let probes = engine.audit().runs.len();
    let address = world.entries[0].address;
    let caller = tokio::spawn(async move { complete(address, &"x".repeat(8_000)).await });
    while engine.audit().runs.len() == probes && !caller.is_finished() {
        sleep(Duration::from_millis(5)).await;
    }
    dying.stop().await;
    let seen = caller.await.expect("no panic");
    assert!(ran([&engine]).contains(&seen.request));
    assert!(seen.is_refused("unknown"), "{seen:?}");
}
