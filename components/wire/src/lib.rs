//! Messages between nodes and their encodings.
//!
//! The state machines of other crates exchange messages as plain Rust types. This crate has a
//! serializable type for each of them and validates what is received. It performs no I/O: the
//! `transport` crate and the front ends send and receive the bytes.

//!
//! A list of members is decoded entry by entry: one that is out of range is left out and counted, and the
//! others hold.

pub mod control;
pub mod crash_reports;
pub mod datagram;
pub mod freshness;
pub mod header;
pub mod rate_limits;
pub mod rollouts;
pub mod sync;

mod compressed_text;
mod decoded;
mod member_entry;

pub use compressed_text::CompressedText;
pub use decoded::Decoded;
pub use member_entry::MemberEntry;
