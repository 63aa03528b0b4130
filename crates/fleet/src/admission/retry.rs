//! When refused callers return.

use fuchsiamill_model::units::Millisecond;

/// The longest time after which a caller is told to return, in seconds. The state of a pool is not known further ahead.
pub const MAX_AFTER_S: u64 = 8;

/// Returns after how many seconds a caller is to return: once the room that it lacks has come, plus a part of the time in
/// which the pool does the work that was refused, so that callers return as fast as they can be served. `random` is at
/// least 0 and below 1.
pub fn return_after_s(lacking: u64, refused: u64, rate: u64, random: f64) -> u64 {
    let time = |work: u64| -> Millisecond { work.checked_div(rate).unwrap_or(Millisecond::MAX) };
    let spread = time(refused).min(MAX_AFTER_S * 1_000) as f64 * random;
    let after = time(lacking).saturating_add(spread as Millisecond);
    after.div_ceil(1_000).clamp(1, MAX_AFTER_S)
}
