//! What the cases of a run covered.

use {
    crate::statements::Counts,
    std::sync::{Mutex, PoisonError},
};

static TOTAL: Mutex<Counts> = Mutex::new(Counts {
    calls: 0,
    unwitnessed_calls: 0,
    interrupted_lapses: 0,
    answers: 0,
    not_run: 0,
    cuts: 0,
    reads: 0,
    unheard_reads: 0,
});

/// Adds what one case covered.
pub fn add(counts: &Counts) {
    let mut total = TOTAL.lock().unwrap_or_else(PoisonError::into_inner);
    total.calls += counts.calls;
    total.answers += counts.answers;
    total.not_run += counts.not_run;
    total.unwitnessed_calls += counts.unwitnessed_calls;
    total.interrupted_lapses += counts.interrupted_lapses;
    total.cuts += counts.cuts;
    total.reads += counts.reads;
    total.unheard_reads += counts.unheard_reads;
}

/// What all cases together covered.
pub fn total() -> Counts {
    *TOTAL.lock().unwrap_or_else(PoisonError::into_inner)
}
