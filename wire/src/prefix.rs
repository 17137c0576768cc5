//! Hashes of a prompt's prefixes, as the model runners' cache events name them.
//!
//! A prompt is cut into blocks of [`BLOCK_BYTES`]; prefix `n` is the first `n + 1` whole blocks,
//! and its hash is the FNV-1a sum over their bytes. A runner that holds a prefix skips its
//! tokens in a prefill.

/// Bytes of one block.
pub const BLOCK_BYTES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Hashes of the whole-block prefixes of `prompt`, shortest first.
#[must_use]
pub fn hashes(prompt: &str) -> Vec<u64> {
    let mut sum = FNV_OFFSET;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            sum = block.iter().fold(sum, fold_byte);
            sum
        })
        .collect()
}

fn fold_byte(sum: u64, byte: &u8) -> u64 {
    (sum ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
}
