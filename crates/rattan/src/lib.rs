//! The library that ties the crates together, with the daemon `rattand` and the command line `rattan`.

pub mod cli;
