//! Percentiles of measured times.

use std::fmt::{Display, Formatter};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant digits of the histogram.
const DIGITS: u8 = 3;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Percentiles {
    /// Percentiles of some times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Percentiles {
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return Percentiles::default();
        };
        for time in times {
            // The histogram grows as needed; only absurd values are refused.
            let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Percentiles {
            count: histogram.len(),
            p50_ms: millis(histogram.value_at_quantile(0.5)),
            p95_ms: millis(histogram.value_at_quantile(0.95)),
            p99_ms: millis(histogram.value_at_quantile(0.99)),
            max_ms: millis(histogram.max()),
        }
    }
}

impl Display for Percentiles {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Percentiles { count, p50_ms, p95_ms, p99_ms, max_ms } = self;
        write!(
            formatter,
            "p50 {p50_ms:.2} ms, p95 {p95_ms:.2} ms, p99 {p99_ms:.2} ms, \
             max {max_ms:.2} ms over {count}"
        )
    }
}
