//! Acceptance and settlement against a fake store.

mod apply;
mod concurrent;
mod settle;
mod support;
