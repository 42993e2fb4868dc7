//! Exit codes of the command-line tool.

use {super::ClientError, std::process::ExitCode};

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Refused or failed; nothing was changed.
    Refused = 1,
    /// The command line, the key or a file is invalid; nothing was sent.
    Usage = 2,
    /// Somebody else changed the object; nothing was changed.
    Conflict = 3,
    /// There is no such object or decision.
    NotFound = 4,
    /// No entry instance answered, or the key-value service is down. The message says whether a
    /// change may have been applied.
    Unavailable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<&ClientError> for Exit {
    fn from(error: &ClientError) -> Self {
        match error {
            ClientError::Usage { .. } => Self::Usage,
            ClientError::NotSent { .. } | ClientError::NoAnswer { .. } => Self::Unavailable,
            ClientError::Malformed { .. } => Self::Refused,
            ClientError::Refused { status, .. } => match status {
                404 => Self::NotFound,
                409 => Self::Conflict,
                503 | 504 => Self::Unavailable,
                _ => Self::Refused,
            },
        }
    }
}
