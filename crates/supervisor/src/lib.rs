//! A tree of named tasks with restart limits and ordered shutdown.
