//! What the revisions in answers prove, for any order in which calls are sent, done and answered.

use {
    keyvalue::{Incarnation, IncarnationTracker, KvError, RevisionFall},
    proptest::{collection::vec, prelude::*},
};

/// A call that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_in: Incarnation,
    known: u64,
    /// Revision of the service when it was done; `None` before.
    done_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Send,
    /// The service does a call, which may be a write.
    Do(usize, bool),
    Answer(usize),
    /// A call that is never answered.
    Lose(usize),
    WriteByOther,
    /// The service comes back from a copy that lacks some revisions.
    ComeBack(u64),
}

fn sound_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Send),
        4 => (0_usize..8, any::<bool>()).prop_map(|(index, writes)| Step::Do(index, writes)),
        4 => (0_usize..8).prop_map(Step::Answer),
        1 => (0_usize..8).prop_map(Step::Lose),
        2 => Just(Step::WriteByOther),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        19 => sound_step(),
        1 => (1_u64..4).prop_map(Step::ComeBack),
    ]
}

/// Plays the steps; checks each answer against what it proves. Returns the numbers of returns and of noticed
/// ones.
fn play(steps: &[Step]) -> (u64, u64) {
    let tracker = IncarnationTracker::default();
    let mut calls: Vec<Call> = Vec::new();
    let (mut revision, mut returns_count) = (1_u64, 0);
    for step in steps {
        match *step {
            Step::Send => {
                let sent_in = tracker.current();
                let known = tracker.highest_revision(sent_in);
                calls.push(Call {
                    sent_in,
                    known,
                    done_at: None,
                });
            }
            Step::Do(index, writes) => {
                if let Some(call) = calls.get_mut(index)
                    && call.done_at.is_none()
                {
                    revision += u64::from(writes);
                    call.done_at = Some(revision);
                }
            }
            Step::Answer(index) => {
                let Some(done_at) = calls.get(index).and_then(|call| call.done_at) else {
                    continue;
                };
                let call = calls.remove(index);
                let before = tracker.current();
                let observed = tracker.observe_revision(done_at, call.known, call.sent_in);
                let is_stale = !call.sent_in.is_same(&before);
                let is_proof = !is_stale && done_at < call.known;
                let is_restored = matches!(observed, Err(KvError::Restored { number: 0 }));
                assert_eq!(is_restored, is_stale || is_proof);
                let fall = RevisionFall {
                    known: call.known,
                    answered: done_at,
                };
                assert_eq!(
                    tracker.current().fall == Some(fall),
                    is_proof || before.fall == Some(fall)
                );
            }
            Step::Lose(index) => {
                if index < calls.len() {
                    calls.remove(index);
                }
            }
            Step::WriteByOther => revision += 1,
            Step::ComeBack(lost_count) => {
                revision = revision.saturating_sub(lost_count);
                returns_count += 1;
            }
        }
    }
    (returns_count, tracker.current().changes_count)
}

proptest! {
    /// Guards against a sound service that is taken for one that went back.
    #[test]
    fn sound_service_never_came_back(steps in vec(sound_step(), 0..200)) {
        assert_eq!(play(&steps), (0, 0));
    }

    #[test]
    fn each_return_counts_at_most_once(steps in vec(any_step(), 0..200)) {
        let (returns_count, noticed_count) = play(&steps);
        assert!(noticed_count <= returns_count);
    }
}

/// Guards against a revision of before that is taken for one of the present incarnation.
#[test]
fn revisions_of_before_are_forgotten() {
    let tracker = IncarnationTracker::default();
    let before = tracker.current();
    tracker.note_revision(100, before);
    assert!(tracker.observe_revision(40, 100, before).is_err());
    let now = tracker.current();
    tracker.note_revision(90, before);
    assert_eq!(
        (
            tracker.highest_revision(before),
            tracker.highest_revision(now)
        ),
        (0, 40)
    );
    assert!(tracker.observe_revision(41, 40, now).is_ok());
    assert_eq!(tracker.current().changes_count, 1);
}
