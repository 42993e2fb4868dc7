//! Lists of which each entry is parsed by itself, since one that can't be read must not hide the others.

use {
    serde::{Deserialize, Deserializer, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::char::REPLACEMENT_CHARACTER,
};

/// The entries that can be read of a list in an answer of a target. Those with bytes that are no text can't.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadableEntries<Entry> {
    /// Those that could be read, in order.
    pub entries: Vec<Entry>,
    /// Number of the others.
    pub unreadable_count: usize,
}

impl<'de, Entry> Deserialize<'de> for ReadableEntries<Entry>
where
    Entry: DeserializeOwned,
{
    fn deserialize<Input>(input: Input) -> Result<Self, Input::Error>
    where
        Input: Deserializer<'de>,
    {
        let raw = Vec::<Box<RawValue>>::deserialize(input)?;
        let entries: Vec<Entry> = raw.iter().filter_map(|raw| parse_entry(raw)).collect();
        Ok(Self {
            unreadable_count: raw.len() - entries.len(),
            entries,
        })
    }
}

/// Deserializes the entries that can be read.
pub(crate) fn deserialize_readable<'de, Input, Entry>(
    input: Input,
) -> Result<Vec<Entry>, Input::Error>
where
    Input: Deserializer<'de>,
    Entry: DeserializeOwned,
{
    ReadableEntries::deserialize(input).map(|readable| readable.entries)
}

/// Parses an entry; `None` if it can't be read, or held bytes that are no text.
fn parse_entry<Entry>(raw: &RawValue) -> Option<Entry>
where
    Entry: DeserializeOwned,
{
    if raw.get().contains(REPLACEMENT_CHARACTER) {
        log::warn!("ignoring an entry of a target's answer that is no text");
        return None;
    }
    let entry = serde_json::from_str(raw.get());
    entry
        .inspect_err(|error| {
            log::warn!("ignoring an unreadable entry of a target's answer: {error}");
        })
        .ok()
}
