//! Which part of the fleet a node reaches, by a sample.
//!
//! A node that lends because the first one is silent does not know whether the first has
//! failed or whether it is cut off itself. Who asks it tells that only after many questions,
//! too late for a small limit. So it probes some of the others.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Nodes that are probed at once.
const SAMPLE: usize = 8;
/// Time for their answers.
const ANSWERS_WITHIN: Duration = Duration::from_millis(90);
/// Time after which those that have not answered are probed again, as long as the sample is
/// not complete: a lost datagram is not a node out of reach.
const PROBED_AGAIN_EACH: Duration = Duration::from_millis(30);
/// Time after which others are probed, while it matters.
const PROBED_EACH: Duration = Duration::from_millis(150);
/// Time for which a sample counts: until the next one is complete, at the latest. That one
/// begins an idle tick (250 ms) after it was due.
const COUNTS_FOR: Duration = Duration::from_millis(500);

/// A sample of the nodes.
#[derive(Clone, Debug)]
struct Sample {
    probed: Vec<SocketAddrV4>,
    answered: Vec<SocketAddrV4>,
    /// Nodes that the sample is of.
    of: usize,
    began: BootInstant,
    /// When nodes of it were last probed.
    probed_at: BootInstant,
}

impl Sample {
    fn is_complete(&self, now: BootInstant) -> bool {
        self.answered.len() == self.probed.len() || now.since(self.began) >= ANSWERS_WITHIN
    }

    /// Nodes that are reached by estimate, this one not counted.
    fn reached(&self) -> f64 {
        self.answered.len() as f64 * self.of as f64 / self.probed.len().max(1) as f64
    }
}

/// The last samples.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    newest: Option<Sample>,
    before: Option<Sample>,
    /// Place among the nodes from which the next sample is taken.
    next: usize,
}

impl Reach {
    /// Whether the last sample is old enough for another one.
    pub(super) fn is_sample_due(&self, now: BootInstant) -> bool {
        self.newest.as_ref().is_none_or(|sample| now.since(sample.began) >= PROBED_EACH)
    }

    /// The nodes to probe now, of those that there are beside this one.
    pub(super) fn probe(&mut self, others: &[SocketAddrV4], now: BootInstant) -> Vec<SocketAddrV4> {
        if others.is_empty() {
            return Vec::new();
        }
        let count = SAMPLE.min(others.len());
        let step = others.len().div_ceil(count);
        let places = (0..count).map(|place| (self.next + place * step) % others.len());
        let mut probed: Vec<SocketAddrV4> = places.map(|place| others[place]).collect();
        probed.sort_unstable();
        probed.dedup();
        self.next = self.next.wrapping_add(1) % others.len();
        let sample = Sample {
            probed: probed.clone(),
            answered: Vec::new(),
            of: others.len(),
            began: now,
            probed_at: now,
        };
        self.before = self.newest.replace(sample);
        probed
    }

    /// Whether nodes of the last sample may yet answer.
    pub(super) fn awaits_answers(&self, now: BootInstant) -> bool {
        self.newest.as_ref().is_some_and(|sample| !sample.is_complete(now))
    }

    /// The nodes of the last sample to probe again now.
    pub(super) fn probe_again(&mut self, now: BootInstant) -> Vec<SocketAddrV4> {
        let Some(sample) = &mut self.newest else { return Vec::new() };
        if sample.is_complete(now) || now.since(sample.probed_at) < PROBED_AGAIN_EACH {
            return Vec::new();
        }
        sample.probed_at = now;
        let answered = &sample.answered;
        sample.probed.iter().copied().filter(|node| !answered.contains(node)).collect()
    }

    /// Notes that a node has answered.
    pub(super) fn note_answer(&mut self, node: SocketAddrV4) {
        if let Some(sample) = &mut self.newest
            && sample.probed.contains(&node)
            && !sample.answered.contains(&node)
        {
            sample.answered.push(node);
        }
    }

    /// Number of nodes that are reached, this one included; none where that is not known.
    pub(super) fn reached(&self, now: BootInstant) -> Option<f64> {
        let samples = self.newest.iter().chain(&self.before);
        let mut known = samples
            .filter(|sample| sample.is_complete(now) && now.since(sample.began) < COUNTS_FOR);
        Some(known.next()?.reached() + 1.0)
    }
}
