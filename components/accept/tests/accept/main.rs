//! Acceptance and settlement against a fake store.

mod machine;
mod settle;
mod support;
