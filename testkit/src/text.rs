//! Answers of the stand-in model, a pure function of the prompt.
//!
//! A checker recomputes the expected answer with [`answer`] and compares it with what a caller
//! received. Answers to two different prompts differ in nearly every token, so a frame that
//! belongs to another request is detected.

use jacinthweir_wire::caller::FinishReason;
use jacinthweir_wire::runner::{PREFIX_BYTES, prefix_hash};

/// Prompt bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Minimum length of an answer that ends with [`FinishReason::Stop`], in tokens, unless the
/// prompt sets the length.
pub const MIN_ANSWER_TOKENS: u32 = 8;
/// Number of distinct answer lengths, from [`MIN_ANSWER_TOKENS`] upwards.
pub const ANSWER_TOKENS_SPREAD: u32 = 56;
/// Prompt marker that sets the answer length in tokens, such as `#len=200 `.
const LENGTH_MARKER: &str = "#len=";

/// Hashes `bytes` with FNV-1a, seeded with `seed`, and a final mix.
#[must_use]
pub fn hash(seed: u64, bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let sum = bytes.iter().fold(start, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3)
    });
    // FNV leaves the low bits of similar inputs correlated; the final mix spreads them.
    let mixed = (sum ^ (sum >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

/// Returns the text of the token at `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    const SYLLABLES: [&str; 16] = [
        "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu",
        "ve",
    ];
    let h = hash(u64::from(index) + 1, prompt.as_bytes());
    let pick = |shift: u32| SYLLABLES[(h >> shift & 15) as usize];
    let space = if index == 0 { "" } else { " " };
    format!("{space}{}{}{}", pick(0), pick(8), pick(16))
}

/// Returns the length of the answer to `prompt` in tokens and its finish reason.
#[must_use]
pub fn length(prompt: &str, max_tokens: u32) -> (u32, FinishReason) {
    let natural = natural_length(prompt);
    if natural <= max_tokens {
        (natural, FinishReason::Stop)
    } else {
        (max_tokens, FinishReason::Length)
    }
}

/// Returns the answer length without a token limit: the marked one, else one by hash.
fn natural_length(prompt: &str) -> u32 {
    let marked = prompt.split_once(LENGTH_MARKER).and_then(|(_, rest)| {
        let digits = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        rest[..digits].parse().ok()
    });
    marked.unwrap_or_else(|| {
        let h = hash(0, prompt.as_bytes());
        MIN_ANSWER_TOKENS + u32::try_from(h % u64::from(ANSWER_TOKENS_SPREAD)).unwrap_or(0)
    })
}

/// Returns the number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}

/// Returns the complete expected answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    let (tokens, _) = length(prompt, max_tokens);
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Returns the hashes of the prompt's prefixes of one, two and more blocks of [`PREFIX_BYTES`].
///
/// The first is the hash that cache events carry. Each further hash covers the previous hash and
/// the next block; a trailing partial block is ignored.
#[must_use]
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BYTES).skip(1);
    let first = prefix_hash(prompt);
    let further = blocks.scan(first.unwrap_or(0), |sum, block| {
        *sum = hash(*sum, block);
        Some(*sum)
    });
    first.into_iter().chain(further).collect()
}
