//! How many nodes ask a lender, estimated from who has asked lately.
//!
//! When a fleet falls apart, the nodes of the other side stop asking at once, while it takes
//! seconds until they are missed. A lender that counts who asks it lends the smaller part
//! soon; one that others turn to because the first is silent sees by the same count how much
//! of the fleet does so.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Time for which a question counts.
const COUNTED_FOR: Duration = Duration::from_secs(2);
/// Shortest span that is looked at.
const SHORTEST_SPAN: Duration = Duration::from_millis(400);
/// Questions for each node that are looked at, where so many came.
const QUESTIONS_FOR_NODE: f64 = 1.5;
/// Fewest questions, and fewest for each node, that tell whether the fleet is apart: two
/// of one node say nothing. A node of six that is alone asks itself six times in the time
/// looked at, not twelve.
const LEAST_QUESTIONS: f64 = 6.0;
const LEAST_FOR_NODE: f64 = 0.3;
/// Part of the nodes of which fewer have to ask for the fleet to count as apart: not all
/// nodes have as many callers.
const APART_BELOW: f64 = 0.85;
/// Deviations by which fewer nodes have to ask than would by chance.
const DEVIATIONS: f64 = 3.0;
/// Time between two estimates.
const ESTIMATE_EACH: Duration = Duration::from_millis(100);
/// Steps by which an estimate is narrowed down.
const STEPS: usize = 30;

/// Who has asked lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Askers {
    questions: VecDeque<(BootInstant, SocketAddrV4)>,
    /// The last estimate, when it was made, and of how many questions.
    estimate: Option<(BootInstant, Estimate)>,
}

/// An estimate of the nodes that ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Part of the nodes that asks.
    pub(super) part: f64,
    /// Whether that is a part of the fleet, and not chance.
    pub(super) is_apart: bool,
}

impl Askers {
    /// Notes a question.
    pub(super) fn note(&mut self, from: SocketAddrV4, now: BootInstant) {
        self.questions.push_back((now, from));
        while let Some((at, _)) = self.questions.front()
            && now.since(*at) > COUNTED_FOR
        {
            self.questions.pop_front();
        }
    }

    /// Estimates how many of so many nodes ask, by the newest questions that suffice.
    pub(super) fn estimate(&mut self, nodes: usize, now: BootInstant) -> Estimate {
        let known = self.estimate.filter(|(at, _)| now.since(*at) < ESTIMATE_EACH);
        if let Some((_, estimate)) = known {
            return estimate;
        }
        let wanted = QUESTIONS_FOR_NODE * nodes as f64;
        let mut distinct = HashSet::new();
        let mut questions = 0_u32;
        for (at, from) in self.questions.iter().rev() {
            let suffices = f64::from(questions) >= wanted && now.since(*at) > SHORTEST_SPAN;
            if suffices || now.since(*at) > COUNTED_FOR {
                break;
            }
            distinct.insert(*from);
            questions += 1;
        }
        let estimate = Estimate::of(distinct.len() as f64, f64::from(questions), nodes as f64);
        self.estimate = Some((now, estimate));
        estimate
    }
}

impl Estimate {
    /// Of so many distinct nodes among so many questions, in a fleet of so many nodes.
    fn of(distinct: f64, questions: f64, nodes: f64) -> Estimate {
        let part = (asking(distinct, questions) / nodes).min(1.0);
        let by_chance = met(nodes, questions) - DEVIATIONS * deviation(nodes, questions);
        let suffices = questions >= LEAST_QUESTIONS.max(LEAST_FOR_NODE * nodes);
        Estimate { part, is_apart: suffices && part < APART_BELOW && distinct < by_chance }
    }
}

/// Distinct nodes that are met by so many questions, on average, if all ask alike.
fn met(nodes: f64, questions: f64) -> f64 {
    nodes * (1.0 - (-questions / nodes).exp())
}

/// By how much that varies.
fn deviation(nodes: f64, questions: f64) -> f64 {
    let of_node = questions / nodes;
    let variance = (-of_node).exp() - (1.0 + of_node) * (-2.0 * of_node).exp();
    (nodes * variance.max(0.0)).sqrt()
}

/// The number of nodes of which so many distinct ones are met by so many questions, if each
/// asks as often as the others.
fn asking(distinct: f64, questions: f64) -> f64 {
    let (mut low, mut high) = (distinct.max(1.0), 1e6);
    for _ in 0..STEPS {
        let middle = (low * high).sqrt();
        if met(middle, questions) < distinct {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
