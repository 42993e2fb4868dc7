//! The command-line tool `rattan` for operators.
//!
//! Results go to standard output, messages to standard error. [`Exit`] lists the exit codes.

mod apply;
mod client;
mod command;
mod edit;
mod exit;
mod key;
mod options;
mod output;
mod paths;
mod show;
mod trace;

pub use {
    client::{Client, ClientError, Reply},
    command::main,
    exit::Exit,
    options::{Command, Options, Output},
};
