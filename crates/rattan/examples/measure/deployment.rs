//! Workloads of the two deployments, with hours scaled down to seconds.

use {
    rand_chacha::{
        ChaCha8Rng,
        rand_core::{Rng, SeedableRng},
    },
    std::time::Duration,
};

/// Text of one piece in bytes, and its tokens.
pub const PIECE_BYTES: usize = 8_000;
pub const PIECE_TOKENS: u64 = 2_000;
/// Size of one token's KV cache in bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 16;

/// One deployment and its workload.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub model: &'static str,
    pub engines_count: usize,
    /// Prompt tokens that one engine's memory holds.
    pub memory_tokens: u64,
    pub prefill_tokens_per_s: u64,
    /// Bandwidth of the link of each engine and each store.
    pub link_bytes_per_s: u64,
    /// Time between two answer tokens, and their number.
    pub token_time: Duration,
    pub answer_tokens: u32,
    pub accounts_count: usize,
    /// Number of prompts, each of which returns once per round.
    pub prompts_count: usize,
    /// Number of pieces of the prefix that all prompts of an account share.
    pub shared_pieces: usize,
    /// Number of further pieces, which are specific to the prompt.
    pub own_pieces: usize,
    /// Bytes after the last complete piece, which differ at each visit.
    pub tail_bytes: usize,
    pub arrivals_per_s: f64,
    /// Number of measured rounds after the first one.
    pub rounds_count: usize,
    /// Objective of the placement rule: cost of a second, a kilotoken and a mebibyte.
    pub objective: [f64; 3],
}

impl Deployment {
    /// Long prompts that consist mostly of a template and return after long gaps.
    pub fn tasboulak() -> Self {
        Self {
            name: "tasboulak",
            model: "template-review",
            engines_count: 10,
            memory_tokens: 80_000,
            prefill_tokens_per_s: 80_000,
            link_bytes_per_s: 10_000_000,
            token_time: Duration::from_millis(2),
            answer_tokens: 8,
            accounts_count: 10,
            prompts_count: 240,
            shared_pieces: 6,
            own_pieces: 4,
            tail_bytes: 1_200,
            arrivals_per_s: 20.0,
            rounds_count: 1,
            objective: [1.0, 0.05, 0.001],
        }
    }

    /// Short prompts of calls for which a customer is waiting.
    pub fn frio_austral() -> Self {
        Self {
            name: "frio-austral",
            model: "callout-summary",
            engines_count: 10,
            memory_tokens: 40_000,
            prefill_tokens_per_s: 80_000,
            link_bytes_per_s: 10_000_000,
            token_time: Duration::from_millis(2),
            answer_tokens: 4,
            accounts_count: 10,
            prompts_count: 400,
            shared_pieces: 1,
            own_pieces: 3,
            tail_bytes: 400,
            arrivals_per_s: 40.0,
            rounds_count: 1,
            objective: [1.0, 0.01, 0.001],
        }
    }

    /// Visits in order of arrival: the first round, then the measured ones.
    pub fn visits(&self, seed: u64) -> Vec<PlannedVisit> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut at_s = 0.0;
        let mut visits = Vec::new();
        for round in 0..=self.rounds_count {
            let mut prompts: Vec<usize> = (0..self.prompts_count).collect();
            shuffle(&mut prompts, &mut random);
            for prompt in prompts {
                at_s += -unit(&mut random).ln() / self.arrivals_per_s;
                visits.push(PlannedVisit {
                    at: Duration::from_secs_f64(at_s),
                    prompt,
                    round,
                });
            }
        }
        visits
    }

    /// Client account of a prompt.
    pub fn account(&self, prompt: usize) -> usize {
        prompt % self.accounts_count
    }

    /// Text of one visit with a prompt.
    pub fn text(&self, visit: &PlannedVisit) -> String {
        let account = self.account(visit.prompt);
        let mut text = String::new();
        for piece in 0..self.shared_pieces {
            text.push_str(&filler(
                &format!("template {account}/{piece} "),
                PIECE_BYTES,
            ));
        }
        for piece in 0..self.own_pieces {
            text.push_str(&filler(
                &format!("job {}/{piece} ", visit.prompt),
                PIECE_BYTES,
            ));
        }
        let tail = format!("question {} of {} ", visit.round, visit.prompt);
        text.push_str(&filler(&tail, self.tail_bytes));
        text
    }

    /// Number of complete pieces of each prompt.
    pub fn pieces_count(&self) -> usize {
        self.shared_pieces + self.own_pieces
    }
}

/// A planned visit.
#[derive(Clone, Copy, Debug)]
pub struct PlannedVisit {
    /// Time of arrival.
    pub at: Duration,
    pub prompt: usize,
    /// 0 for the first visit with the prompt.
    pub round: usize,
}

fn filler(text: &str, length: usize) -> String {
    let mut filled = text.repeat(length / text.len() + 1);
    filled.truncate(length);
    filled
}

fn shuffle(items: &mut [usize], random: &mut ChaCha8Rng) {
    for index in (1..items.len()).rev() {
        let other = random.next_u64() % (index as u64 + 1);
        items.swap(index, usize::try_from(other).unwrap_or(0));
    }
}

/// A random number greater than 0 and at most 1.
pub fn unit(random: &mut ChaCha8Rng) -> f64 {
    (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)
}
