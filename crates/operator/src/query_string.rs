//! Parses query strings.

/// Returns the percent-decoded value of a parameter; `None` if it is missing.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode(value))
}

/// Replaces each `%XX` by its byte. A `%` without two hex digits stays as it is.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, following)) = rest.split_first() {
        if let (b'%', Some(byte)) = (first, hex_byte(following)) {
            bytes.push(byte);
            rest = &following[2..];
        } else {
            bytes.push(*first);
            rest = following;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(bytes: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(bytes.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
