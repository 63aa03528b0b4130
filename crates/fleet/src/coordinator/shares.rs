//! The division of hosts among pools while there are too few of them.
//!
//! Hosts go to work in the order in which tasks start: first to what runs all the time or at a time of day, then to jobs
//! that can be in time, then to late ones, then to what teams sent beyond their weight. Pools that are short within the
//! same tier get the same part of what they lack, so that the result does not depend on what pools are called.

/// The number of tiers of work; see [`super::rank::Tier`].
pub(super) const TIERS: usize = 4;

/// The hosts that a pool needs for its work up to each tier.
pub(super) type TierNeeds = [u64; TIERS];

/// Divides hosts among pools and returns the share of each.
pub(super) fn divide(hosts: u64, needs: &[TierNeeds]) -> Vec<u64> {
    let mut shares = vec![0; needs.len()];
    let mut left = hosts;
    for tier in 0..TIERS {
        let lacking = |(share, needs): (&u64, &TierNeeds)| needs[tier].saturating_sub(*share);
        let lacking: Vec<u64> = shares.iter().zip(needs).map(lacking).collect();
        let added = in_proportion(left, &lacking);
        shares.iter_mut().zip(&added).for_each(|(share, more)| *share += more);
        left -= added.iter().sum::<u64>();
    }
    shares
}

/// Divides `total` in proportion to the parts, none of which gets more than itself. What rounding leaves goes to the largest
/// fractions.
fn in_proportion(total: u64, parts: &[u64]) -> Vec<u64> {
    let sum: u64 = parts.iter().sum();
    if sum <= total {
        return parts.to_vec();
    }
    let scaled = |part: &u64| u128::from(*part) * u128::from(total);
    let whole = |part: &u64| (scaled(part) / u128::from(sum)) as u64;
    let mut divided: Vec<u64> = parts.iter().map(whole).collect();
    let left = total - divided.iter().sum::<u64>();
    let mut by_fraction: Vec<usize> = (0..parts.len()).collect();
    by_fraction
        .sort_by_key(|at| std::cmp::Reverse((scaled(&parts[*at]) % u128::from(sum), parts[*at])));
    by_fraction.iter().take(left as usize).for_each(|at| divided[*at] += 1);
    divided
}
