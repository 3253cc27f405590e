//! Quantile of a series of positive samples, tracked without storing them.

/// Factor by which the first sample moves the estimate, as a natural logarithm and before it is
/// weighted with the quantile.
const FIRST_STEP: f64 = 0.8;
/// Minimum weight of a sample relative to the first one, so that the estimate follows changes.
const MIN_WEIGHT: f64 = 0.12;

/// Estimate of a quantile. Each sample moves the estimate by a factor that does not depend on how
/// far the sample is away, so that a few samples that are many times too large have little effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuantileEstimate {
    quantile: f64,
    value: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// Starts the estimate of a quantile (above 0 and below 1) at an initial value above 0.
    pub fn new(quantile: f64, initial: f64) -> QuantileEstimate {
        QuantileEstimate { quantile, value: initial, samples: 0 }
    }

    /// The estimate, in the unit of the samples.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Number of recorded samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Records a sample. Values that are not above 0 are ignored.
    pub fn record(&mut self, sample: f64) {
        if !(sample.is_finite() && sample > 0.0) {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let step = FIRST_STEP * (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        let direction = if sample > self.value { self.quantile } else { self.quantile - 1.0 };
        self.value *= (step * direction).exp();
    }
}
