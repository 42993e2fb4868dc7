//! The error for an invalid value in an operator's input.

use snafu::Snafu;

/// A field holds a value that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub), display("field `{field}`: {problem}; {remedy}"))]
pub struct InvalidField {
    /// Path of the field, for example `calls[1].path`.
    pub field: String,
    /// What is wrong with the value.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

impl InvalidField {
    /// Creates the error for one field.
    #[must_use]
    pub fn new<Problem, Remedy>(field: &str, problem: Problem, remedy: Remedy) -> Self
    where
        Problem: Into<String>,
        Remedy: Into<String>,
    {
        Self {
            field: field.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}
