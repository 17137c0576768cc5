//! Shares of urgency levels and organisations when the supply does not cover the demand.
//!
//! Load pattern: a burst of the least urgent streams beside the most urgent ones, or one organisation
//! with ten times its usual traffic. Without shares a chain admits whoever comes first, so the kind or
//! organisation that asks most gets most.

/// Returns the share of each urgency level's demand that is admitted, the most urgent first. The more
/// urgent get what they ask for, up to what leaves `least` times the share of all to every less urgent
/// one.
#[must_use]
pub fn by_urgency(supply: f64, demand: &[f64], least: f64) -> Vec<f64> {
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

/// Returns the share of all demand, the same for each urgency level.
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

/// Demand of an organisation within an urgency level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// Weight, above 0.
    pub weight: f64,
}

/// Number of halvings in the search for the limit, enough for a relative error of 1e-9.
const HALVINGS: u32 = 60;

/// Shares of the organisations of one urgency level.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationShares {
    /// Share of each listed organisation.
    pub listed: Vec<f64>,
    /// Share of each of the others.
    pub unlisted: f64,
}

/// Returns the weighted max-min share of each organisation's demand: those that ask for less than a
/// limit times their weight get all of it, the others the limit. No share is below `least` times the
/// share of the urgency level, which is `granted` of `total` tokens per second. Organisations that are not
/// listed are assumed to ask for as much as the smallest listed one, with a weight of 1, since the
/// largest are listed.
#[must_use]
pub fn by_organisation(
    granted: f64,
    total: f64,
    claims: &[Claim],
    least: f64,
) -> OrganisationShares {
    let same = |share: f64| OrganisationShares {
        listed: vec![share; claims.len()],
        unlisted: share,
    };
    if granted >= total || total <= 0.0 {
        return same(1.0);
    }
    let share = (granted / total).clamp(0.0, 1.0);
    let sizes = claims.iter().map(|c| c.tokens_per_s);
    let smallest = sizes.clone().fold(f64::INFINITY, f64::min);
    if !smallest.is_finite() {
        return same(share);
    }
    let unlisted = (total - sizes.sum::<f64>()).max(0.0);
    let small = Claim {
        tokens_per_s: smallest,
        weight: 1.0,
    };
    let floor = share * least;
    let share_at = |limit: f64, c: &Claim| {
        let fair = limit * c.weight / c.tokens_per_s.max(f64::MIN_POSITIVE);
        fair.clamp(floor, 1.0)
    };
    let used = |limit: f64| -> f64 {
        let listed = claims.iter().map(|c| c.tokens_per_s * share_at(limit, c));
        listed.sum::<f64>() + unlisted * share_at(limit, &small)
    };
    let claims_and_small = claims.iter().chain([&small]);
    let largest = claims_and_small.map(|c| c.tokens_per_s / c.weight.max(f64::MIN_POSITIVE));
    let (mut low, mut high) = (0.0, largest.fold(0.0, f64::max));
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if used(middle) > granted {
            high = middle;
        } else {
            low = middle;
        }
    }
    OrganisationShares {
        listed: claims.iter().map(|c| share_at(low, c)).collect(),
        unlisted: share_at(low, &small),
    }
}

/// Returns the share of requests that were refused before, so that a second refusal is rare.
#[must_use]
pub fn of_returned(share: f64) -> f64 {
    1.0 - (1.0 - share) * (1.0 - share)
}
