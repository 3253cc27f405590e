//! Server selection: a request goes to the server with the lowest expected cost.
//!
//! The cost of a server is the expected time to the first byte in milliseconds: the work queued
//! before the request, the prefill of its own prompt, the slowdown by requests that run or wait
//! there, and the network path. Requests that share leading parts of their prompt prefer the
//! same server (rendezvous hashing), so that it keeps those parts in its cache; load overrides
//! that preference.
//!
//! Prefill times of prompts are those at the mean speed of the service's servers. A server takes
//! them divided by its speed. Where speeds differ, fast servers are preferred for long shared
//! parts, and the pauses that prompts cause in streams count before they reach the event
//! interval limit.

use std::cmp::Ordering;

use super::server_speed::Speed;

/// What a node knows of a server that could answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests at the server, from all nodes.
    pub in_flight: u32,
    /// Prefill time of the prompts, from all nodes, that are processed before the request and
    /// whose first event has not arrived, in milliseconds at mean speed.
    pub pending_millis: f64,
    /// The same for prompts of every priority.
    pub backlog_millis: f64,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether it is in the node's zone.
    pub same_zone: bool,
    /// Whether the node has an idle connection to it.
    pub has_idle_connection: bool,
    /// Share of recent requests that failed, from 0 to 1.
    pub failure_share: f64,
    /// Rendezvous hash of the server and the leading parts of the prompt.
    pub affinity: u64,
    /// Prefill time saved by parts of the prompt that the server is believed to have cached, in
    /// milliseconds at mean speed.
    pub cached_millis: f64,
    /// Speed relative to the mean of the service's servers.
    pub speed: Speed,
    /// How long work takes on the server's machine right now, as a multiple of the usual time;
    /// `None` if the server has not reported it recently, which counts as 1.
    pub slowdown: Option<f64>,
}

impl Candidate {
    /// Time that the server takes for work of this duration at mean speed, in the same unit.
    fn time_for(&self, at_mean_speed: f64) -> f64 {
        at_mean_speed / self.speed.relative()
    }

    /// Score in a weighted rendezvous hash, the highest of which wins: each candidate wins with
    /// a probability in proportion to its speed to the power of `exponent`.
    fn weighted_affinity(&self, exponent: f64) -> f64 {
        let uniform = (self.affinity as f64 + 0.5) / AFFINITY_RANGE;
        // The logarithm is 0 for hashes that round up to the range.
        self.speed.relative().powf(exponent) / (-uniform.ln()).max(f64::MIN_POSITIVE)
    }
}

/// Servers by their speed, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedClass {
    /// Slower than the mean by more than a tenth.
    Slow,
    /// Within a tenth of the mean.
    Mean,
    /// Faster than the mean by more than a tenth.
    Fast,
}

/// Difference from the mean speed up to which a server counts as one of mean speed.
const MEAN_CLASS_MARGIN: f64 = 0.1;

impl SpeedClass {
    /// The class of a server of this speed.
    pub fn of(speed: Speed) -> SpeedClass {
        let difference = speed.relative() - Speed::MEAN.relative();
        match difference {
            slower if slower < -MEAN_CLASS_MARGIN => SpeedClass::Slow,
            faster if faster > MEAN_CLASS_MARGIN => SpeedClass::Fast,
            _ => SpeedClass::Mean,
        }
    }

    /// Name of the class in metrics.
    pub fn name(self) -> &'static str {
        match self {
            SpeedClass::Slow => "slow",
            SpeedClass::Mean => "mean",
            SpeedClass::Fast => "fast",
        }
    }
}

/// Number of values of [`Candidate::affinity`].
const AFFINITY_RANGE: f64 = 18_446_744_073_709_551_616.0;

/// What a node knows of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestProfile {
    /// Prefill time of the prompt, in milliseconds at mean speed; 0 for a request without a model.
    pub prefill_millis: f64,
    /// Part of it for the leading parts that are shared with other requests, at mean speed.
    pub shared_prefix_millis: f64,
    /// Longest interval between two events with which the service's streams meet their target,
    /// in milliseconds; `None` where there is no target.
    pub event_interval_limit_millis: Option<f64>,
    /// Work that other nodes may have sent to a server without this node knowing of it yet, in
    /// milliseconds. Smaller differences in cost do not distinguish servers.
    pub unreported_millis: f64,
}

impl RequestProfile {
    /// Prefill time of the parts of the prompt that the server is not believed to have cached.
    fn uncached_millis(&self, candidate: &Candidate) -> f64 {
        (self.prefill_millis - candidate.cached_millis).max(0.0)
    }

    /// Exponent of the speed in the weights of the rendezvous hash. It grows continuously, since
    /// the estimates of nodes differ slightly and they have to prefer the same server.
    fn speed_exponent(&self) -> f64 {
        let short = match self.event_interval_limit_millis {
            Some(_) => SHORT_PREFIX_SPEED_EXPONENT,
            None => 1.0,
        };
        let length = (self.shared_prefix_millis / LONG_PREFIX_MILLIS).min(1.0);
        short + length * (LONG_PREFIX_SPEED_EXPONENT - short)
    }

    /// Orders candidates by affinity. Those of equal speed are ordered by their hash alone.
    fn compare_affinity(&self, one: &Candidate, other: &Candidate) -> Ordering {
        let by_hash = one.affinity.cmp(&other.affinity);
        if one.speed == other.speed {
            return by_hash;
        }
        let exponent = self.speed_exponent();
        let weighted = |candidate: &Candidate| candidate.weighted_affinity(exponent);
        weighted(one).total_cmp(&weighted(other)).then(by_hash)
    }
}

/// Prefill time at mean speed from which shared leading parts count as long, in milliseconds.
const LONG_PREFIX_MILLIS: f64 = 100.0;
/// Exponent of the speed for long shared parts. One server of 1.9 of the mean speed beside three
/// of 0.87 is preferred for 88% of the long shared parts.
const LONG_PREFIX_SPEED_EXPONENT: f64 = 4.0;
/// Exponent of the speed for requests without shared parts whose streams have an event interval
/// limit. They prefer slow servers, so that the prefill of long prompts on the fast ones does not
/// pause their streams: the same fast server is preferred for 7% of them.
const SHORT_PREFIX_SPEED_EXPONENT: f64 = -2.0;

/// Weights of the cost function, in milliseconds unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Added for each request at the server.
    pub per_running: f64,
    /// Added for each request beyond the server's slots.
    pub per_waiting: f64,
    /// Added if the server is in another zone.
    pub other_zone: f64,
    /// Added if a connection has to be opened: that takes time, and servers limit the number of
    /// their connections.
    pub new_connection: f64,
    /// Added in full if all recent requests to the server failed, otherwise in proportion.
    pub failing: f64,
    /// Added for each running stream and each millisecond of prefill beyond what the stream's
    /// event interval allows; where speeds differ, also for prefill within it.
    pub per_delayed_stream: f64,
    /// Whether the slowdown that servers report counts.
    pub uses_slowdown: bool,
    /// Costs that differ by no more than this are treated as equal. Otherwise the node's open
    /// connections would decide: they are long-lived, so a server that happens to have one would
    /// receive every request of a lightly loaded node.
    pub tie_margin: f64,
}

/// Share of the event interval limit that servers may spend on prefill; the rest is for
/// generating the tokens of one event. On simulated days, the mean score of one deployment of
/// three drops by 0.01 with 0.6; with 0.85 that of none does.
const PREFILL_SHARE_OF_INTERVAL: f64 = 0.85;

impl CostModel {
    /// For model engines.
    pub const ENGINE: CostModel = CostModel {
        per_running: 0.6,
        per_waiting: 30.0,
        other_zone: 25.0,
        new_connection: 10.0,
        failing: 400.0,
        per_delayed_stream: 0.05,
        uses_slowdown: false,
        tie_margin: 0.0,
    };
    /// For plain services.
    pub const PLAIN: CostModel = CostModel {
        per_running: 4.0,
        per_waiting: 20.0,
        other_zone: 5.0,
        new_connection: 3.0,
        failing: 150.0,
        per_delayed_stream: 0.0,
        uses_slowdown: true,
        tie_margin: 3.0,
    };

    /// Cost of delaying the streams that run at a server, in milliseconds. A server prefills
    /// prompts between the tokens of its streams, so a prefill backlog that is close to the
    /// event interval limit delays all of its streams at once. Without this cost, one live
    /// stream in ten was late on a day without faults.
    pub fn interference(&self, candidate: &Candidate, request: &RequestProfile) -> f64 {
        let Some(limit) = request.event_interval_limit_millis else { return 0.0 };
        let prefill = candidate.backlog_millis + request.uncached_millis(candidate);
        let excess = candidate.time_for(prefill) - limit * PREFILL_SHARE_OF_INTERVAL;
        let streams = candidate.in_flight.min(candidate.slots);
        excess.max(0.0) * f64::from(streams) * self.per_delayed_stream
    }

    /// Cost that is added where the speeds of servers differ, in milliseconds.
    ///
    /// - Prefill pauses streams: that of the request every stream at the server, and the pending
    ///   prefill of every priority the request's own stream. Both count from the first
    ///   millisecond, since other nodes send prompts to the same server that are not known yet.
    /// - Work that is not known yet takes longer on a slow server.
    ///
    /// On 90 simulated servers, one in four of 2.2 times the speed of the others, 7% of the streams
    /// are late with it and 12% without (`core/tests/gateway_selection_speed.rs`).
    pub fn uneven_cost(&self, candidate: &Candidate, request: &RequestProfile) -> f64 {
        let unreported = candidate.time_for(request.unreported_millis);
        if request.event_interval_limit_millis.is_none() {
            return unreported;
        }
        let streams = f64::from(candidate.in_flight.min(candidate.slots));
        let of_others = candidate.time_for(request.uncached_millis(candidate)) * streams;
        let of_own_stream = candidate.time_for(candidate.backlog_millis);
        unreported + (of_others + of_own_stream) * self.per_delayed_stream
    }

    /// Additional time due to the slowdown that the server has reported, for work that usually takes
    /// `work_millis`. The request itself counts as one more request that runs there, so that an idle
    /// server that is slow is distinguished from one that is not.
    fn slowdown_cost(&self, candidate: &Candidate, work_millis: f64) -> f64 {
        let slowdown = candidate.slowdown.filter(|_| self.uses_slowdown).unwrap_or(1.0);
        (slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN) - 1.0) * (work_millis + self.per_running)
    }

    /// Expected time to the first byte, in milliseconds.
    pub fn cost(&self, candidate: &Candidate, request: &RequestProfile) -> f64 {
        let waiting = candidate.in_flight.saturating_sub(candidate.slots);
        let prefill = candidate.pending_millis + request.uncached_millis(candidate);
        let mut cost = candidate.time_for(prefill);
        cost += self.per_running * f64::from(candidate.in_flight);
        cost += self.per_waiting * f64::from(waiting);
        cost += self.slowdown_cost(candidate, cost);
        if !candidate.same_zone {
            cost += self.other_zone;
        }
        if !candidate.has_idle_connection {
            cost += self.new_connection;
        }
        cost + self.failing * candidate.failure_share
    }
}

/// Limits of a reported slowdown. A report outside of them would exclude a server or send it all
/// requests, whatever its load.
const MIN_SLOWDOWN: f64 = 0.1;
const MAX_SLOWDOWN: f64 = 20.0;

/// The selected server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Expected time to the first byte, in milliseconds.
    pub cost: f64,
    /// Whether the request would delay streams that run there beyond their event interval limit.
    pub delays_streams: bool,
    /// Whether the server is assumed to have the shared parts of the prompt cached.
    pub assumes_cached: bool,
}

/// Selects the candidate with the lowest cost, including interference with running streams and,
/// where a speed differs from the mean, [`CostModel::uneven_cost`]; `None` if there are no
/// candidates.
///
/// The candidate with the highest affinity is assumed to have the shared parts of the prompt
/// cached. Among candidates whose costs differ by no more than the tie margin or the unreported
/// work, the one with the highest affinity wins. That spreads the requests of many nodes, which
/// would otherwise all go to the server that was last reported to be idle. The affinity of a
/// candidate is weighted with its speed.
pub fn select(
    candidates: &[Candidate],
    request: &RequestProfile,
    model: &CostModel,
) -> Option<Choice> {
    let by_affinity = |one: &usize, other: &usize| {
        request.compare_affinity(&candidates[*one], &candidates[*other])
    };
    let preferred = (0..candidates.len()).max_by(by_affinity)?;
    let speeds_differ = candidates.iter().any(|candidate| candidate.speed != Speed::MEAN);
    let choices = candidates.iter().enumerate().map(|(index, known)| {
        let mut candidate = *known;
        if index == preferred {
            candidate.cached_millis = candidate.cached_millis.max(request.shared_prefix_millis);
        }
        let cost = model.cost(&candidate, request);
        let interference = model.interference(&candidate, request);
        let uneven = if speeds_differ { model.uneven_cost(&candidate, request) } else { 0.0 };
        let assumes_cached = index == preferred;
        let delays_streams = interference > 0.0;
        let choice = Choice { index, cost, delays_streams, assumes_cached };
        (cost + interference + uneven, choice)
    });
    let choices: Vec<(f64, Choice)> = choices.collect();
    let lowest = choices.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let tie_margin = model.tie_margin.max(request.unreported_millis);
    let tied = choices.into_iter().filter(|(cost, _)| *cost <= lowest + tie_margin);
    tied.map(|(_, choice)| choice).max_by(|one, other| by_affinity(&one.index, &other.index))
}
