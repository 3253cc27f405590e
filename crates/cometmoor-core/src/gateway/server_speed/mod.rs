//! Speed of servers relative to the mean of their service.
//!
//! Nodes measure the shortest interval between events of the streams that they relay
//! ([`IntervalEstimator`]), keep the shortest one of each server and model ([`SpeedTable`]),
//! exchange them ([`SpeedReport`]) and compare the servers of a service that hold the same models
//! ([`relative_speeds`]).

mod fit;
mod intervals;
mod pace;
mod priority;
mod relative;
mod report;
mod table;

pub use self::intervals::{EventInterval, IntervalEstimator};
pub use self::pace::{Pace, PaceChange, PaceTracker};
pub use self::relative::{ObservedServer, RelativeSpeed, relative_speeds};
pub use self::report::{
    DueRecord, DueReport, MAX_RECORDS, RecipientGroup, ReportRole, ShortKey, SpeedRecord,
    SpeedReport,
};
pub use self::table::{ServerIntervals, SpeedTable};

/// Speed of a server: 2 for one that takes half of the mean time for the same work.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Speed(f64);

impl Speed {
    /// The mean speed, which is assumed of a server without observations.
    pub const MEAN: Speed = Speed(1.0);
    /// Lower limit.
    const MIN: f64 = 0.25;
    /// Upper limit.
    const MAX: f64 = 4.0;

    /// Creates a speed, limited to the range from 0.25 to 4. A value that is not a number counts as
    /// the mean speed.
    pub fn new(relative: f64) -> Speed {
        if relative.is_nan() { Speed::MEAN } else { Speed(relative.clamp(Speed::MIN, Speed::MAX)) }
    }

    /// The speed as a multiple of the mean speed.
    pub fn relative(self) -> f64 {
        self.0
    }
}

impl Default for Speed {
    fn default() -> Speed {
        Speed::MEAN
    }
}
