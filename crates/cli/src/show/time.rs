//! Times and spans as people write and read them.

use std::str::FromStr;

use fuchsiamill_model::{Millisecond, WallTime};

const SECOND: Millisecond = 1_000;
const MINUTE: Millisecond = 60 * SECOND;
const HOUR: Millisecond = 60 * MINUTE;
const DAY: Millisecond = 24 * HOUR;

/// A span of time given as an argument, such as `90s`, `15min`, `2h` or `7d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(Millisecond);

impl Span {
    /// One hour.
    pub const HOUR: Span = Span(HOUR);
    /// One day.
    pub const DAY: Span = Span(DAY);

    /// The span in milliseconds.
    pub fn ms(self) -> Millisecond {
        self.0
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(raw: &str) -> Result<Self, String> {
        let wrong = || format!("'{raw}' is no span; write such as 90s, 15min, 2h or 7d");
        let digits = raw.len() - raw.trim_start_matches(|it: char| it.is_ascii_digit()).len();
        let (count, unit) = raw.split_at(digits);
        let unit = match unit {
            "s" => SECOND,
            "min" => MINUTE,
            "h" => HOUR,
            "d" => DAY,
            _ => return Err(wrong()),
        };
        let count: Millisecond = count.parse().map_err(|_| wrong())?;
        count.checked_mul(unit).map(Span).ok_or_else(wrong)
    }
}

/// A span in its two largest units.
pub fn span(ms: Millisecond) -> String {
    match ms {
        ..SECOND => format!("{ms} ms"),
        SECOND..MINUTE => format!("{} s", ms / SECOND),
        MINUTE..HOUR => format!("{} min {} s", ms / MINUTE, ms % MINUTE / SECOND),
        HOUR..DAY => format!("{} h {} min", ms / HOUR, ms % HOUR / MINUTE),
        _ => format!("{} d {} h", ms / DAY, ms % DAY / HOUR),
    }
}

/// A time in UTC, such as `2026-12-04 09:30:00`.
pub fn utc(at: WallTime) -> String {
    let (year, month, day) = date((at.0 / DAY) as i64);
    let of_day = at.0 % DAY;
    let (hour, minute, second) = (of_day / HOUR, of_day % HOUR / MINUTE, of_day % MINUTE / SECOND);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// The Gregorian date of a day counted from 1970-01-01.
fn date(days: i64) -> (i64, i64, i64) {
    const DAYS_PER_ERA: i64 = 146_097;
    const DAYS_BEFORE_EPOCH: i64 = 719_468;
    let days = days + DAYS_BEFORE_EPOCH;
    let era = days.div_euclid(DAYS_PER_ERA);
    let of_era = days.rem_euclid(DAYS_PER_ERA);
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    (year_of_era + era * 400 + i64::from(month <= 2), month, day)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_and_spans_read_as_people_write_them() {
        assert_eq!(utc(WallTime(0)), "1970-01-01 00:00:00");
        assert_eq!(utc(WallTime(951_782_400_000)), "2000-02-29 00:00:00");
        assert_eq!(utc(WallTime(1_796_376_600_000)), "2026-12-04 09:30:00");
        assert_eq!(span(61_000), "1 min 1 s");
        assert_eq!("15min".parse(), Ok(Span(900_000)));
        assert!("5".parse::<Span>().is_err() && "h".parse::<Span>().is_err());
    }
}
