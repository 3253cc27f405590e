//! Estimates from a sample how much of the fleet a node reaches.
//!
//! A fallback lender does not know whether the first-ranked node has failed or whether it is
//! partitioned from it itself. The senders of its token requests show that only after many
//! requests, too late for a small limit. It therefore probes some of the other nodes.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Number of nodes in a sample.
const SAMPLE_SIZE: usize = 8;
/// Time within which the probed nodes have to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(90);
/// Time after which nodes that have not responded are probed again while the sample is incomplete,
/// because a lost datagram does not mean that a node is unreachable.
const RESEND_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two samples while the estimate is needed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a sample is valid: at most until the next one is complete, which may start an
/// idle tick (250 ms) after it was due.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(500);

/// A sample of the other nodes.
#[derive(Clone, Debug)]
struct Sample {
    probed: Vec<SocketAddrV4>,
    responded: Vec<SocketAddrV4>,
    /// Number of nodes that the sample was taken from.
    population: usize,
    started: BootInstant,
    /// When nodes of the sample were last probed.
    last_probed: BootInstant,
}

impl Sample {
    fn is_complete(&self, now: BootInstant) -> bool {
        self.responded.len() == self.probed.len() || now.since(self.started) >= RESPONSE_TIMEOUT
    }

    /// Estimated number of reachable nodes, without this one.
    fn reached(&self) -> f64 {
        self.responded.len() as f64 * self.population as f64 / self.probed.len().max(1) as f64
    }
}

/// The last two samples, the newest of which may be incomplete.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    newest: Option<Sample>,
    previous: Option<Sample>,
    /// Index of the first node of the next sample.
    next_offset: usize,
}

impl Reachability {
    /// Whether the next sample is due.
    pub(super) fn is_sample_due(&self, now: BootInstant) -> bool {
        self.newest.as_ref().is_none_or(|sample| now.since(sample.started) >= SAMPLE_INTERVAL)
    }

    /// Starts a sample of the given nodes, and returns those to probe.
    pub(super) fn start_sample(
        &mut self,
        others: &[SocketAddrV4],
        now: BootInstant,
    ) -> Vec<SocketAddrV4> {
        if others.is_empty() {
            return Vec::new();
        }
        let count = SAMPLE_SIZE.min(others.len());
        let step = others.len().div_ceil(count);
        let indices = (0..count).map(|index| (self.next_offset + index * step) % others.len());
        let mut probed: Vec<SocketAddrV4> = indices.map(|index| others[index]).collect();
        probed.sort_unstable();
        probed.dedup();
        self.next_offset = self.next_offset.wrapping_add(1) % others.len();
        let sample = Sample {
            probed: probed.clone(),
            responded: Vec::new(),
            population: others.len(),
            started: now,
            last_probed: now,
        };
        self.previous = self.newest.replace(sample);
        probed
    }

    /// Whether nodes of the last sample may still respond.
    pub(super) fn awaits_responses(&self, now: BootInstant) -> bool {
        self.newest.as_ref().is_some_and(|sample| !sample.is_complete(now))
    }

    /// The nodes of the last sample to send a probe to again.
    pub(super) fn probes_to_resend(&mut self, now: BootInstant) -> Vec<SocketAddrV4> {
        let Some(sample) = &mut self.newest else { return Vec::new() };
        if sample.is_complete(now) || now.since(sample.last_probed) < RESEND_INTERVAL {
            return Vec::new();
        }
        sample.last_probed = now;
        let responded = &sample.responded;
        sample.probed.iter().copied().filter(|node| !responded.contains(node)).collect()
    }

    /// Records that a node has responded.
    pub(super) fn note_response(&mut self, node: SocketAddrV4) {
        if let Some(sample) = &mut self.newest
            && sample.probed.contains(&node)
            && !sample.responded.contains(&node)
        {
            sample.responded.push(node);
        }
    }

    /// Estimated number of reachable nodes including this one; None without a valid sample.
    pub(super) fn reached(&self, now: BootInstant) -> Option<f64> {
        let samples = self.newest.iter().chain(&self.previous);
        let mut known = samples.filter(|sample| {
            sample.is_complete(now) && now.since(sample.started) < SAMPLE_LIFETIME
        });
        Some(known.next()?.reached() + 1.0)
    }
}
