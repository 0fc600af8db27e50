//! Messages between nodes and their encodings.
//!
//! Mirrors the pure message types with types that can be encoded, and checks what comes in. Knows
//! no socket: `transport` and `front` carry the bytes.

pub mod control;
pub mod datagram;
pub mod header;
pub mod sync;

mod compressed_text;
mod member_entry;

pub use compressed_text::CompressedText;
pub use member_entry::MemberEntry;
