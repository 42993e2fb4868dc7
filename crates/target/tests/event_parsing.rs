//! Server-sent events are parsed the same however the bytes are split into chunks.

use {proptest::prelude::*, target::SseParser};

fn all_data(parser: &mut SseParser) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| parser.next_data())
        .map(|data| data.to_vec())
        .collect()
}

#[test]
fn comments_and_other_fields_are_skipped() {
    let mut parser = SseParser::default();
    parser.push(b": ping\n\nevent: error\ndata: a\ndata: b\nid: 7\n\n");
    assert_eq!(all_data(&mut parser), [b"a\nb".to_vec()]);
}

#[test]
fn lines_may_end_with_carriage_return_and_line_feed() {
    let mut parser = SseParser::default();
    parser.push(b"data: a\r\n\r\ndata: b\r\n\r\n");
    assert_eq!(all_data(&mut parser), [b"a".to_vec(), b"b".to_vec()]);
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(
        events in proptest::collection::vec("[a-z{}: ]{1,12}", 0..8),
        chunk_bytes in 1..40_usize,
        copies in any::<bool>(),
    ) {
        let parts = events.iter().flat_map(|data| ["data: ", data, "\n\n"]);
        let text: String = parts.collect();
        let mut parser = SseParser::default();
        let mut read = Vec::new();
        for part in text.as_bytes().chunks(chunk_bytes) {
            if copies {
                parser.push(part);
            } else {
                parser.push_chunk(part.to_vec().into());
            }
            read.extend(all_data(&mut parser));
        }
        let expected: Vec<Vec<u8>> = events.iter().map(|data| data.clone().into_bytes()).collect();
        prop_assert_eq!(read, expected);
    }

    #[test]
    fn any_bytes_are_parsed_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut parser = SseParser::default();
        parser.push(&bytes);
        let _ = all_data(&mut parser);
    }
}
