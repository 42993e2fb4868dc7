//! Parser of operators' files: a JSON array or stream of objects, each with a `kind` member.

use {
    crate::{InvalidField, Object, ObjectError, ObjectKind},
    serde::Deserialize,
    serde_json::value::RawValue,
    snafu::Snafu,
    std::collections::BTreeMap,
};

/// A file is not valid; none of its objects are used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub), display("line {line}: {message}"))]
pub struct FileError {
    /// Line of the file, starting at 1.
    pub line: usize,
    /// The object and field where known, the problem and the remedy.
    pub message: String,
}

/// The members needed to choose the parser of an object and to name the object in errors.
#[derive(Deserialize)]
struct Head {
    kind: ObjectKind,
    #[serde(default)]
    name: String,
}

/// Parses all objects of a file, in file order.
///
/// ```
/// let file = r#"{"kind":"placement_rule","name":"urgent","priority":9}"#;
/// let objects = catalog::parse_file(file).unwrap();
/// assert_eq!(objects[0].name(), "urgent");
///
/// let error = catalog::parse_file("[\n{\"kind\":\"placement_rule\",\n\"name\":\"No\"}]").unwrap_err();
/// assert_eq!(error.line, 3);
/// ```
///
/// # Errors
///
/// Gives the line, the object and field, the problem and the remedy.
pub fn parse_file(text: &str) -> Result<Vec<Object>, FileError> {
    let mut objects = Vec::new();
    let mut first_lines: BTreeMap<(ObjectKind, String), usize> = BTreeMap::new();
    for element in split_elements(text)? {
        let offset = offset_in(text, element.get());
        let first_line = line_at(text, offset);
        let object = parse_element(element.get(), first_line)?;
        let key = (object.kind(), object.name().to_owned());
        if let Some(earlier) = first_lines.insert(key, first_line) {
            return Err(FileError {
                line: first_line,
                message: format!(
                    "{} {} is already defined at line {earlier}; keep one of the two",
                    object.kind(),
                    object.name()
                ),
            });
        }
        objects.push(object);
    }
    Ok(objects)
}

/// Splits the array or stream into the JSON text of each object.
fn split_elements(text: &str) -> Result<Vec<&RawValue>, FileError> {
    if text.trim_start().starts_with('[') {
        return serde_json::from_str(text).map_err(|error| syntax_error(&error, 1));
    }
    serde_json::Deserializer::from_str(text)
        .into_iter::<&RawValue>()
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| syntax_error(&error, 1))
}

fn parse_element(json: &str, first_line: usize) -> Result<Object, FileError> {
    let head: Head =
        serde_json::from_str(json).map_err(|error| syntax_error(&error, first_line))?;
    let object = Object::from_json(head.kind, json.as_bytes());
    object.map_err(|error| match error {
        ObjectError::Syntax { source } => {
            let mut error = syntax_error(&source, first_line);
            error.message = format!("{} {}: {}", head.kind, head.name, error.message);
            error
        }
        ObjectError::Value { source } => FileError {
            line: first_line + lines_before_field(json, &source),
            message: format!("{} {}: {source}", head.kind, head.name),
        },
    })
}

/// Converts a parser error, whose line counts from `first_line` of the file.
fn syntax_error(error: &serde_json::Error, first_line: usize) -> FileError {
    let text = error.to_string();
    let problem = text.split(" at line ").next().unwrap_or_default();
    FileError {
        line: first_line + error.line().saturating_sub(1),
        message: format!("{problem}; correct the JSON at column {}", error.column()),
    }
}

/// Number of lines between the start of an object and the member that the invalid field belongs to.
fn lines_before_field(json: &str, error: &InvalidField) -> usize {
    let member = error.field.split(['.', '[']).next().unwrap_or_default();
    let quoted = format!("\"{member}\"");
    let offset = json
        .match_indices(&quoted)
        .map(|(offset, _)| offset)
        .find(|offset| json[offset + quoted.len()..].trim_start().starts_with(':'));
    line_at(json, offset.unwrap_or(0)) - 1
}

/// Byte offset of `part`, which must be a slice of `text`.
fn offset_in(text: &str, part: &str) -> usize {
    part.as_ptr().addr() - text.as_ptr().addr()
}

/// Line number, starting at 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset].matches('\n').count() + 1
}
