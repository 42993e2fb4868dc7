//! The command line for operators.

fn main() {}
