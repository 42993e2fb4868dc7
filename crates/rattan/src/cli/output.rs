//! Prints results and errors.

use {
    super::{ClientError, Output},
    serde_json::{Value, json},
    std::io::{self, Write},
};

/// Prints a result to standard output. A closed output is not an error.
pub(super) fn print(text: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{}", text.trim_end());
}

/// Prints a JSON document.
pub(super) fn print_json(value: &Value) {
    print(&format!("{value:#}"));
}

/// Prints a message that is not part of the result to standard error.
pub(super) fn print_note(text: &str) {
    let mut output = io::stderr().lock();
    let _ = writeln!(output, "{text}");
}

/// Prints an error to standard error in the given format.
pub(super) fn print_error(error: &ClientError, format: Output) {
    match (format, error) {
        (Output::Human, _) => print_note(&format!("error: {error}")),
        (Output::Json, ClientError::Refused { body, .. }) => print_note(&body.to_string()),
        (Output::Json, _) => print_note(&local_error(error).to_string()),
    }
}

fn local_error(error: &ClientError) -> Value {
    let (kind, outcome) = match error {
        ClientError::Usage { .. } => ("usage", "not_run"),
        ClientError::NotSent { .. } => ("unavailable", "not_run"),
        _ => ("unavailable", "unknown"),
    };
    json!({"error": {"type": kind, "message": error.to_string(), "outcome": outcome}})
}

/// Formats rows as a table with aligned columns, separated by two spaces.
pub(super) fn table(rows: &[Vec<String>]) -> String {
    let columns_count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns_count)
        .map(|column| {
            rows.iter()
                .filter_map(|row| row.get(column))
                .map(String::len)
                .max()
                .unwrap_or(0)
        })
        .collect();
    let lines: Vec<String> = rows
        .iter()
        .map(|row| {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            cells.join("  ").trim_end().to_owned()
        })
        .collect();
    lines.join("\n")
}

/// Formats a JSON document with one member per line and nested ones indented.
pub(super) fn outline(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(members) => members
            .iter()
            .map(|(key, member)| outline_member(&indent, key, member, depth))
            .collect(),
        Value::Array(items) => items
            .iter()
            .map(|item| outline_member(&indent, "-", item, depth))
            .collect(),
        scalar => format!("{indent}{}\n", scalar_text(scalar)),
    }
}

fn outline_member(indent: &str, key: &str, member: &Value, depth: usize) -> String {
    let colon = if key == "-" { "" } else { ":" };
    match member {
        Value::Object(members) if !members.is_empty() => {
            format!("{indent}{key}{colon}\n{}", outline(member, depth + 1))
        }
        Value::Array(items) if !items.is_empty() => {
            format!("{indent}{key}{colon}\n{}", outline(member, depth + 1))
        }
        Value::Object(_) | Value::Array(_) => format!("{indent}{key}{colon} none\n"),
        scalar => format!("{indent}{key}{colon} {}\n", scalar_text(scalar)),
    }
}

fn scalar_text(scalar: &Value) -> String {
    match scalar {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
