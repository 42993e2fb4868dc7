//! HTTP towards callers and operators.
