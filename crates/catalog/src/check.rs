//! Validation of single field values, shared by all kinds of object.

use crate::{InvalidField, Labels, ObjectKind};

/// Maximum length of a name or label key in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a model name in bytes.
const MAX_MODEL_NAME_BYTES: usize = 128;
/// Maximum length of a label value in bytes.
const MAX_LABEL_VALUE_BYTES: usize = 63;
/// Maximum number of labels in one object or selector.
const MAX_LABELS_COUNT: usize = 32;
/// Maximum length of a plain service's path in bytes.
const MAX_PATH_BYTES: usize = 256;
/// Length of a BLAKE3 digest in hex digits.
const KEY_DIGEST_HEX_LEN: usize = 64;
/// Allowed length of a digest of model weights in hex digits.
const VERSION_DIGEST_HEX_LEN: std::ops::RangeInclusive<usize> = 8..=128;

/// Checks that the `kind` member of a raw object, if present, is the expected kind.
pub(crate) fn kind(stated: Option<ObjectKind>, expected: ObjectKind) -> Result<(), InvalidField> {
    match stated {
        Some(stated) if stated != expected => Err(InvalidField::new(
            "kind",
            format!("`{stated}` where `{expected}` is expected"),
            format!("write `{expected}` or leave the field out"),
        )),
        _ => Ok(()),
    }
}

/// Checks a name: `[a-z0-9][a-z0-9.-]{0,62}`.
pub(crate) fn name(field: &str, value: &str) -> Result<(), InvalidField> {
    let first = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let rest = |byte: u8| first(byte) || byte == b'.' || byte == b'-';
    if matches_pattern(value, MAX_NAME_BYTES, first, rest) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value:?} is not a valid name"),
        "use 1 to 63 of a-z, 0-9, '.' and '-', with a letter or digit first",
    ))
}

/// Checks a model name. It allows more characters than [`name`], since clients already use such
/// names in `model`.
pub(crate) fn model(field: &str, value: &str) -> Result<(), InvalidField> {
    let first = |byte: u8| byte.is_ascii_alphanumeric();
    let rest = |byte: u8| first(byte) || b"._/:-".contains(&byte);
    if matches_pattern(value, MAX_MODEL_NAME_BYTES, first, rest) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value:?} is not a valid model name"),
        "use 1 to 128 letters, digits and '._/:-', with a letter or digit first",
    ))
}

/// Checks labels: keys are like names, but may contain `_` and `/`; values consist of letters,
/// digits and `._-`, or are empty.
pub(crate) fn labels(field: &str, labels: &Labels) -> Result<(), InvalidField> {
    if labels.len() > MAX_LABELS_COUNT {
        return Err(InvalidField::new(
            field,
            format!("{} labels", labels.len()),
            format!("use at most {MAX_LABELS_COUNT}"),
        ));
    }
    for (key, value) in labels {
        label_key(field, key)?;
        label_value(&format!("{field}.{key}"), value)?;
    }
    Ok(())
}

fn label_key(field: &str, key: &str) -> Result<(), InvalidField> {
    let first = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let rest = |byte: u8| first(byte) || b"._/-".contains(&byte);
    if matches_pattern(key, MAX_NAME_BYTES, first, rest) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{key:?} is not a valid label key"),
        "use 1 to 63 of a-z, 0-9 and '._/-', with a letter or digit first",
    ))
}

fn label_value(field: &str, value: &str) -> Result<(), InvalidField> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if value.len() <= MAX_LABEL_VALUE_BYTES && value.bytes().all(allowed) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value:?} is not a valid label value"),
        "use at most 63 letters, digits and '._-'",
    ))
}

/// Checks a BLAKE3 digest in lower-case hex. The error omits the value, which may be a key given by
/// mistake.
pub(crate) fn key_digest(field: &str, value: &str) -> Result<(), InvalidField> {
    if value.len() == KEY_DIGEST_HEX_LEN && is_lower_hex(value) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        "not a BLAKE3 digest",
        "use the 64 lower-case hex digits that `rattan digest` prints; never write the key itself",
    ))
}

/// Checks a digest of model weights in lower-case hex.
pub(crate) fn version_digest(field: &str, value: &str) -> Result<(), InvalidField> {
    if VERSION_DIGEST_HEX_LEN.contains(&value.len()) && is_lower_hex(value) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value:?} is not a valid digest"),
        "use 8 to 128 lower-case hex digits, as the engine reports them",
    ))
}

/// Checks an absolute path: no query, no empty segments, no `.` or `..`.
pub(crate) fn path(field: &str, value: &str) -> Result<(), InvalidField> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/._~-".contains(&byte);
    let segments_valid = value
        .split('/')
        .skip(1)
        .all(|segment| !segment.is_empty() && segment != "." && segment != "..");
    let length_valid = value.len() <= MAX_PATH_BYTES;
    if value.starts_with('/') && length_valid && segments_valid && value.bytes().all(allowed) {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value:?} is not a valid path"),
        "use a leading slash and at most 256 letters, digits and '/._~-', no empty or dotted segment",
    ))
}

/// Checks that a number is at least 1.
pub(crate) fn at_least_one(field: &str, value: u64) -> Result<(), InvalidField> {
    if value > 0 {
        return Ok(());
    }
    Err(InvalidField::new(field, "0 is too small", "use at least 1"))
}

/// Checks that a number is at most `bound`.
pub(crate) fn at_most(field: &str, value: u64, bound: u64) -> Result<(), InvalidField> {
    if value <= bound {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value} is too large"),
        format!("use at most {bound}"),
    ))
}

/// Checks a cost: finite and not negative.
pub(crate) fn cost(field: &str, value: f64) -> Result<(), InvalidField> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(InvalidField::new(
        field,
        format!("{value} is not a valid cost"),
        "use a number of at least 0",
    ))
}

fn is_lower_hex(value: &str) -> bool {
    value
        .bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

/// Whether `value` has 1 to `max_bytes` bytes, of which the first matches `first` and the others
/// `rest`.
fn matches_pattern<First, Rest>(value: &str, max_bytes: usize, first: First, rest: Rest) -> bool
where
    First: Fn(u8) -> bool,
    Rest: Fn(u8) -> bool,
{
    let mut bytes = value.bytes();
    bytes.next().is_some_and(first) && value.len() <= max_bytes && bytes.all(rest)
}
