//! The view of engine memory stays correct when cache events are late, repeated or missing.

use {
    directory::{ApplyOutcome, CacheEvent, CacheEventKind, Directory, Place},
    std::time::Duration,
};

const NOW: Duration = Duration::ZERO;

fn stored(seq: u64, key: u8) -> CacheEvent {
    CacheEvent {
        seq,
        kind: CacheEventKind::Stored,
        key: [key; 32],
    }
}

fn removed(seq: u64, key: u8) -> CacheEvent {
    CacheEvent {
        kind: CacheEventKind::Removed,
        ..stored(seq, key)
    }
}

fn confidence(directory: &Directory, key: u8) -> Option<f64> {
    let copy = directory.copies(&[key; 32]).next()?;
    assert_eq!(copy.place, Place::Memory);
    Some(copy.confidence)
}

#[test]
fn repeated_and_reordered_events_change_nothing() {
    let mut directory = Directory::default();
    let engine = "engine-a".to_owned();
    let events = [stored(1, 1), stored(2, 2), removed(3, 1)];
    for _ in 0..2 {
        let applied = directory.apply_events(&engine, 0, &events, NOW);
        assert_eq!(applied, ApplyOutcome::Applied { last_seq: 3 });
        assert_eq!(confidence(&directory, 1), None);
        assert_eq!(confidence(&directory, 2), Some(1.0));
    }
    directory.apply_events(&engine, 0, &events[..1], NOW);
    assert_eq!(confidence(&directory, 1), None);
}

#[test]
fn a_gap_makes_older_copies_uncertain_until_resync() {
    let mut directory = Directory::default();
    let engine = "engine-a".to_owned();
    directory.apply_events(&engine, 0, &[stored(1, 1)], NOW);
    let gap = directory.apply_events(&engine, 1, &[stored(4, 4)], NOW);
    assert_eq!(
        gap,
        ApplyOutcome::Gap {
            missing_seq: 2,
            last_seq: 4
        }
    );
    assert!(confidence(&directory, 1).unwrap() < 1.0);
    assert_eq!(confidence(&directory, 4), Some(1.0));

    directory.resync(&engine, 6, &[[1; 32], [5; 32]], NOW);
    assert_eq!(confidence(&directory, 1), Some(1.0));
    assert_eq!(confidence(&directory, 4), None);
    assert_eq!(confidence(&directory, 5), Some(1.0));
    assert_eq!(directory.last_seq(&engine), 6);
    directory.apply_events(&engine, 4, &[removed(5, 5)], NOW);
    assert_eq!(
        confidence(&directory, 5),
        Some(1.0),
        "older than the resync"
    );
}

#[test]
fn a_run_result_corrects_the_cache_view() {
    let mut directory = Directory::default();
    let engine = "engine-a".to_owned();
    directory.apply_events(&engine, 0, &[stored(1, 1), stored(2, 2)], NOW);
    directory.mark_uncertain(&engine);
    assert!(confidence(&directory, 2).unwrap() < 1.0);
    directory.observe_run(&engine, &[[1; 32], [2; 32], [3; 32]], 1, NOW);
    assert_eq!(confidence(&directory, 2), Some(1.0));
    assert_eq!(confidence(&directory, 3), Some(1.0));
    directory.forget_target(&engine, NOW);
    assert_eq!(confidence(&directory, 2), None);
    assert_eq!(
        directory.computed_prefix_blocks(&[[1; 32], [2; 32], [9; 32]]),
        2
    );
}

#[test]
fn wrong_predictions_lower_the_confidence() {
    let mut directory = Directory::default();
    let engine = "engine-a".to_owned();
    directory.apply_events(&engine, 0, &[stored(1, 1)], NOW);
    for _ in 0..5 {
        directory.record_prediction(&engine, 6, 0);
    }
    let low = confidence(&directory, 1).unwrap();
    assert!((0.5..0.7).contains(&low), "{low}");
    directory.resync(&engine, 2, &[[1; 32]], NOW);
    assert!((confidence(&directory, 1).unwrap() - low).abs() < 1e-9);
    for _ in 0..100 {
        directory.record_prediction(&engine, 0, 0);
    }
    assert!(confidence(&directory, 1).unwrap() > 0.9);
}
