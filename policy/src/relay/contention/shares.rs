//! Shares of priorities and organisations when the supply does not cover the demand.
//!
//! Load pattern: a burst of the least urgent streams beside the most urgent ones, or one organisation
//! with ten times its usual traffic. Without shares a chain admits whoever comes first, so the kind or
//! organisation that asks most gets most.

/// Returns the share of each priority's demand that is admitted, the most urgent first. The more
/// urgent get what they ask for, up to what leaves `least` times the share of all to every less urgent
/// one.
#[must_use]
pub fn by_priority(supply: f64, demand: &[f64], least: f64) -> Vec<f64> {
    let total: f64 = demand.iter().sum();
    if total <= supply || total <= 0.0 {
        return vec![1.0; demand.len()];
    }
    let floor = supply.max(0.0) / total * least;
    let mut left = supply.max(0.0);
    let mut reserved: f64 = total * floor;
    let mut shares = Vec::with_capacity(demand.len());
    for tokens in demand {
        reserved -= tokens * floor;
        let granted = (left - reserved).clamp(tokens * floor, tokens.max(0.0));
        left -= granted;
        shares.push(if *tokens > 0.0 { granted / tokens } else { 1.0 });
    }
    shares
}

/// Returns the share of all demand, the same for each priority.
#[must_use]
pub fn equal(supply: f64, demand: &[f64]) -> Vec<f64> {
    let total: f64 = demand.iter().sum();
    let share = if total > 0.0 {
        (supply.max(0.0) / total).min(1.0)
    } else {
        1.0
    };
    vec![share; demand.len()]
}

/// Demand of an organisation within a priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// Weight, above 0.
    pub weight: f64,
}

/// Number of halvings in the search for the level, enough for a relative error of 1e-9.
const HALVINGS: u32 = 60;

/// Returns the weighted max-min share of each organisation's demand: those that ask for less than a
/// level times their weight get all of it, the others the level. No share is below `least` times the
/// share of the priority, which is `granted` of `total` tokens per second. Demand of organisations
/// that are not listed is admitted before the level is found, since each of them is small.
#[must_use]
pub fn by_organisation(granted: f64, total: f64, claims: &[Claim], least: f64) -> Vec<f64> {
    if granted >= total || total <= 0.0 {
        return vec![1.0; claims.len()];
    }
    let listed: f64 = claims.iter().map(|c| c.tokens_per_s).sum();
    let share = (granted / total).clamp(0.0, 1.0);
    let unlisted = (total - listed).max(0.0);
    // If even the small organisations' demand exceeds what is granted, all get the same share.
    let budget = (granted - unlisted).max(listed * share * least);
    let floor = share * least;
    let share_at = |level: f64, c: &Claim| {
        let fair = level * c.weight / c.tokens_per_s.max(f64::MIN_POSITIVE);
        fair.clamp(floor, 1.0)
    };
    let used = |level: f64| -> f64 {
        claims
            .iter()
            .map(|c| c.tokens_per_s * share_at(level, c))
            .sum()
    };
    let largest = claims
        .iter()
        .map(|c| c.tokens_per_s / c.weight.max(f64::MIN_POSITIVE));
    let (mut low, mut high) = (0.0, largest.fold(0.0, f64::max));
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if used(middle) > budget {
            high = middle;
        } else {
            low = middle;
        }
    }
    claims.iter().map(|c| share_at(low, c)).collect()
}

/// Returns the share of the demand of organisations that are not listed: what [`by_organisation`] leaves
/// of `granted` at least.
#[must_use]
pub fn of_unlisted(granted: f64, total: f64, claims: &[Claim], least: f64) -> f64 {
    if granted >= total || total <= 0.0 {
        return 1.0;
    }
    let listed: f64 = claims.iter().map(|c| c.tokens_per_s).sum();
    let unlisted = total - listed;
    let share = (granted / total).clamp(0.0, 1.0);
    if unlisted <= 0.0 {
        return share;
    }
    ((granted - listed * share * least) / unlisted).clamp(0.0, 1.0)
}

/// Returns the share of requests that were refused before, so that a second refusal is rare.
#[must_use]
pub fn of_returned(share: f64) -> f64 {
    1.0 - (1.0 - share) * (1.0 - share)
}
