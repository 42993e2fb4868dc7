//! What may follow in a stream depends on its position alone.

use {
    proptest::{collection::vec, prelude::*},
    target::{BodyEnd, Misplaced, StreamPosition},
};

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: van {id}\n\n").into_bytes()
}

#[test]
fn ids_may_leap() {
    let mut position = StreamPosition::after(Some(12));
    for id in [13, 17, 400] {
        assert_eq!(position.advance(&event(id)), Ok(()));
    }
    assert_eq!(position.resume_point(), Some(400));
}

#[test]
fn continuation_without_ids_does_not_fit() {
    let mut position = StreamPosition::after(Some(12));
    assert_eq!(position.advance(b": ping\n\n"), Ok(()));
    assert_eq!(position.advance(b"data: x\n\n"), Err(Misplaced::Unplaced));
    assert_eq!(position.resume_point(), Some(12));
}

#[test]
fn event_without_an_id_has_a_place_only_before_one_with_an_id() {
    let mut position = StreamPosition::default();
    assert_eq!(position.advance(b"data: begin\n\n"), Ok(()));
    assert_eq!(position.resume_point(), None);
    assert_eq!(position.advance(&event(1)), Ok(()));
    assert_eq!(position.resume_point(), Some(1));
    assert_eq!(position.advance(b"data: x\n\n"), Ok(()));
    assert_eq!(position.resume_point(), None);
}

#[test]
fn comments_are_no_events() {
    let mut position = StreamPosition::after(Some(12));
    assert_eq!(position.advance(b": ping\n\n"), Ok(()));
    let ended = position.end(BodyEnd::Connection);
    assert_eq!(ended, Err(Misplaced::NoEvent));
    assert_eq!(position.end(BodyEnd::Framing), Ok(()));
}

proptest! {
    #[test]
    fn forwarded_ids_increase_over_all_answers(answers in vec(vec(0..20_u64, 0..6), 1..5)) {
        let mut forwarded = Vec::new();
        for answer in answers {
            let mut position = StreamPosition::after(forwarded.last().copied());
            let fits = |id: &u64| position.advance(&event(*id)).is_ok();
            forwarded.extend(answer.into_iter().take_while(fits));
            prop_assert_eq!(position.resume_point(), forwarded.last().copied());
        }
        prop_assert!(forwarded.is_sorted_by(|earlier, later| earlier < later));
    }
}
