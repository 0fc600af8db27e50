//! Text of the configuration, compressed.
//!
//! A version that adds many routes goes to every node whole; over a link of 7 Mbit/s a text of 280 KB
//! takes a third of a second for each node that asks, and compressed a tenth of that.

use lz4_flex::block::compress;
use lz4_flex::block::decompress;
use serde::Deserialize;
use serde::Serialize;

use config::MAX_TEXT_BYTES;

/// A compressed text.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CompressedText {
    /// Bytes of the text.
    length: u32,
    /// An LZ4 block.
    block: Vec<u8>,
}

impl From<&str> for CompressedText {
    fn from(text: &str) -> Self {
        Self {
            // A longer text than that is refused by the reader.
            length: u32::try_from(text.len()).unwrap_or(u32::MAX),
            block: compress(text.as_bytes()),
        }
    }
}

impl CompressedText {
    /// The text; `None` if the block is malformed or its text too long.
    pub fn decompress(self) -> Option<String> {
        let length = usize::try_from(self.length).ok()?;
        // The length is that of the sender and decides how much memory is taken.
        if length > MAX_TEXT_BYTES {
            return None;
        }
        let bytes = decompress(&self.block, length).ok()?;
        String::from_utf8(bytes).ok()
    }
}
