//! Time to first token through one daemon against the stand-in engine's own, in one run.
//!
//! Requests alternate between the engine and the daemon, so both meet the same machine. Run with
//! `cargo bench -p rattan --bench first_token`.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    hdrhistogram::Histogram,
    standin::{Caller, End, engine::EngineSettings},
    std::net::SocketAddr,
    support::{
        objects::{CALLER_KEY, MODEL},
        world::{World, WorldSettings},
    },
};

/// Requests over each way.
const REQUESTS_COUNT: usize = 400;
/// Requests over each way before counting starts.
const WARM_UP_COUNT: usize = 50;
/// Text of a prompt in bytes; 2,000 tokens.
const PROMPT_BYTES: usize = 8_000;
/// Prompt tokens that the stand-in engine computes a second.
const PREFILL_TOKENS_PER_S: u64 = 20_000;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let mut settings = WorldSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 1;
    settings.engines_count = 1;
    settings.engine = EngineSettings {
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        ..settings.engine
    };
    let world = World::start(settings).await.expect("a world");
    let ways = [world.engines[0].address, world.entries[0].address];
    let mut histograms = ways.map(|_| Histogram::<u64>::new(3).expect("3 digits"));
    for number in 0..WARM_UP_COUNT + REQUESTS_COUNT {
        for (way, histogram) in ways.iter().zip(&mut histograms) {
            let first_token_us = first_token_us(*way, number).await;
            if number >= WARM_UP_COUNT {
                histogram.record(first_token_us).expect("in range");
            }
        }
    }
    let [engine, daemon] = histograms;
    for (name, quantile) in [("median", 0.5), ("p99", 0.99)] {
        let (own, through) = (
            engine.value_at_quantile(quantile),
            daemon.value_at_quantile(quantile),
        );
        println!(
            "{name}: engine {own} us, through the daemon {through} us, ratio {:.3}, added {} us",
            ratio(through, own),
            through.saturating_sub(own)
        );
    }
}

/// Time to first token of a prompt that was never sent before, in microseconds.
async fn first_token_us(way: SocketAddr, number: usize) -> u64 {
    let prompt = format!("{way}{number:08}{}", "x".repeat(PROMPT_BYTES));
    let caller = Caller::new(CALLER_KEY);
    let visit = caller
        .complete(way, MODEL, &prompt[..PROMPT_BYTES], 1)
        .await;
    assert_eq!(visit.end, End::Whole, "{visit:?}");
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let first_token_us = (visit.first_token_ms.unwrap_or_default() * 1_000.0) as u64;
    first_token_us
}

#[allow(clippy::cast_precision_loss)]
fn ratio(through: u64, own: u64) -> f64 {
    through as f64 / own.max(1) as f64
}
