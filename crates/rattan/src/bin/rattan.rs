//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    rattan::cli::main()
}
