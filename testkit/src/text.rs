//! What the stand-in model answers: a pure function of the prompt.
//!
//! A checker recomputes the whole right answer with [`answer`] and compares it with what a caller
//! received. Two prompts differ in nearly every token, so a frame of another request shows.

use jacinthweir_wire::caller::FinishReason;
use jacinthweir_wire::runner::{PREFIX_BYTES, prefix_hash};

/// Bytes of prompt that make one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Shortest answer that the model ends by itself, in tokens.
pub const SHORTEST: u32 = 8;
/// Spread of the lengths of answers, in tokens.
pub const SPREAD: u32 = 56;
/// Prompt marker that sets the length: `#len=200 ` at its start.
const LENGTH_MARK: &str = "#len=";

/// FNV-1a over `bytes`, starting from `seed`.
#[must_use]
pub fn hash(seed: u64, bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let sum = bytes.iter().fold(start, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3)
    });
    // The final mix spreads the low bits, which FNV leaves alike for like inputs.
    let mixed = (sum ^ (sum >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

/// Text of the token at `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    const HEAD: [&str; 16] = [
        "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu",
        "ve",
    ];
    let h = hash(u64::from(index) + 1, prompt.as_bytes());
    let pick = |shift: u32| HEAD[(h >> shift & 15) as usize];
    let space = if index == 0 { "" } else { " " };
    format!("{space}{}{}{}", pick(0), pick(8), pick(16))
}

/// Length of the answer to `prompt` in tokens and why it ends there.
#[must_use]
pub fn length(prompt: &str, max_tokens: u32) -> (u32, FinishReason) {
    let own = own_length(prompt);
    if own <= max_tokens {
        (own, FinishReason::Stop)
    } else {
        (max_tokens, FinishReason::Length)
    }
}

fn own_length(prompt: &str) -> u32 {
    let marked = prompt.split_once(LENGTH_MARK).and_then(|(_, rest)| {
        let digits = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        rest[..digits].parse().ok()
    });
    marked.unwrap_or_else(|| {
        let h = hash(0, prompt.as_bytes());
        SHORTEST + u32::try_from(h % u64::from(SPREAD)).unwrap_or(0)
    })
}

/// Number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}

/// The whole right answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    let (tokens, _) = length(prompt, max_tokens);
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Hashes of the prompt's prefixes of one, two and more whole blocks of [`PREFIX_BYTES`]. The
/// first is what cache events name; each further one is a hash over the one before and its block.
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
