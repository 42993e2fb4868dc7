//! Parses query strings.

/// Returns the decoded value of a parameter; `None` if it is missing.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
