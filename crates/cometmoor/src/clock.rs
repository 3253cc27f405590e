//! The process's clock, as the core wants it.

use cometmoor_core::time::{BootInstant, Timestamp};
use cometmoor_gateway::clock;

/// Counts milliseconds since the process started, those included for which the machine
/// was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: BootInstant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { started: clock::now() }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        let millis = clock::elapsed(self.started).as_millis();
        Timestamp(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}
