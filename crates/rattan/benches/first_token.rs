//! Compares the time to first token through one daemon with that of the stand-in engine itself.
//!
//! Requests alternate between the engine and the daemon, so that both run under the same load. Run
//! with `cargo bench -p rattan --bench first_token`.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    hdrhistogram::Histogram,
    standin::{Caller, End, engine::EngineSettings},
    std::net::SocketAddr,
    support::{
        objects::{CALLER_KEY, MODEL},
        test_system::{TestSystem, TestSystemSettings},
    },
};

/// Measured requests to each of the two.
const REQUESTS_COUNT: usize = 400;
/// Requests to each of the two before the measurement.
const WARM_UP_COUNT: usize = 50;
/// Size of a prompt, which is 2,000 tokens.
const PROMPT_BYTES: usize = 8_000;
/// Prompt tokens that the stand-in engine computes per second.
const PREFILL_TOKENS_PER_S: u64 = 20_000;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 1;
    settings.engines_count = 1;
    settings.engine = EngineSettings {
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        ..settings.engine
    };
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let addresses = [system.engines[0].address, system.entries[0].address];
    let mut histograms = addresses.map(|_| Histogram::<u64>::new(3).expect("3 digits"));
    for number in 0..WARM_UP_COUNT + REQUESTS_COUNT {
        for (address, histogram) in addresses.iter().zip(&mut histograms) {
            let first_token_us = first_token_us(*address, number).await;
            if number >= WARM_UP_COUNT {
                histogram.record(first_token_us).expect("in range");
            }
        }
    }
    let [engine, daemon] = histograms;
    for (name, quantile) in [("median", 0.5), ("p99", 0.99)] {
        let (direct_us, daemon_us) = (
            engine.value_at_quantile(quantile),
            daemon.value_at_quantile(quantile),
        );
        println!(
            "{name}: engine {direct_us} us, through the daemon {daemon_us} us, ratio {:.3}, added {} us",
            ratio(daemon_us, direct_us),
            daemon_us.saturating_sub(direct_us)
        );
    }
}

/// Time to first token of a prompt that was never sent before, in microseconds.
async fn first_token_us(address: SocketAddr, number: usize) -> u64 {
    let prompt = format!("{address}{number:08}{}", "x".repeat(PROMPT_BYTES));
    let caller = Caller::new(CALLER_KEY);
    let visit = caller
        .complete(address, MODEL, &prompt[..PROMPT_BYTES], 1)
        .await;
    assert_eq!(visit.end, End::Whole, "{visit:?}");
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let first_token_us = (visit.first_token_ms.unwrap_or_default() * 1_000.0) as u64;
    first_token_us
}

#[allow(clippy::cast_precision_loss)]
fn ratio(daemon_us: u64, direct_us: u64) -> f64 {
    daemon_us as f64 / direct_us.max(1) as f64
}
