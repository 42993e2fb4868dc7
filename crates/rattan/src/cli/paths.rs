//! Paths of the operators' HTTP interface. Names come from the command line, so they are escaped.

use {
    catalog::{ObjectKind, Selector},
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
};

/// Bytes that are escaped in a segment of a path or in a value of a query.
const ESCAPED_BYTES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Path of one object.
pub(super) fn object(kind: ObjectKind, name: &str) -> String {
    format!("/v1/operator/{kind}/{}", escape(name))
}

/// Path of the labels of one object.
pub(super) fn labels(kind: ObjectKind, name: &str) -> String {
    format!("{}/labels", object(kind, name))
}

/// Path that marks a target as leaving.
pub(super) fn drain(target: &str) -> String {
    format!("{}/drain", object(ObjectKind::Target, target))
}

/// Path of the objects of a kind that match a selector.
pub(super) fn list(kind: ObjectKind, selector: &Selector) -> String {
    let selector = escape(&selector.to_string());
    format!("/v1/operator/{kind}?selector={selector}")
}

/// Path of the record of a request's decisions.
pub(super) fn decision(request_id: &str) -> String {
    format!("/v1/operator/decisions/{}", escape(request_id))
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED_BYTES).to_string()
}
