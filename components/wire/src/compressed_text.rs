//! Compression of the configuration text in control messages.
//!
//! A configuration version that adds many routes is sent to each node in full. A text of 280 KB takes
//! a third of a second over a link of 7 Mbit/s, and a tenth of that when it is compressed.

use lz4_flex::block::compress;
use lz4_flex::block::decompress;
use serde::Deserialize;
use serde::Serialize;

use config::MAX_TEXT_BYTES;

/// A text compressed with LZ4.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CompressedText {
    /// Length of the text in bytes, without compression.
    length: u32,
    /// The text as one LZ4 block.
    block: Vec<u8>,
}

impl From<&str> for CompressedText {
    fn from(text: &str) -> Self {
        Self {
            // The receiver refuses a text of this length, since it exceeds MAX_TEXT_BYTES.
            length: u32::try_from(text.len()).unwrap_or(u32::MAX),
            block: compress(text.as_bytes()),
        }
    }
}

impl CompressedText {
    /// Returns the text, or `None` if the block is malformed or the text exceeds [`MAX_TEXT_BYTES`].
    pub fn decompress(self) -> Option<String> {
        let length = usize::try_from(self.length).ok()?;
        // The length comes from the sender and determines how much memory is allocated.
        if length > MAX_TEXT_BYTES {
            return None;
        }
        let bytes = decompress(&self.block, length).ok()?;
        String::from_utf8(bytes).ok()
    }
}
