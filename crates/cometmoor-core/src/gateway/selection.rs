//! Which server gets a request: the one with the least expected time.
//!
//! The cost of a server is the time until it would give the first byte, in
//! milliseconds: what waits there before the request, the request's own
//! prompt, the slowdown of a full batch, and the way there. Requests that share
//! leading parts of their prompt favour the same server (rendezvous hashing),
//! so that it keeps those parts; load breaks the tie.

/// What a node knows of a server that could answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests at the server, from all nodes.
    pub in_flight: u32,
    /// Time that it takes to read the prompts, from all nodes, whose first event
    /// has not come, in milliseconds.
    pub pending_millis: f64,
    /// The same for prompts of every urgency.
    pub backlog_millis: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it stands in the node's zone.
    pub same_zone: bool,
    /// Whether the node has a connection to it that is not in use.
    pub has_idle_connection: bool,
    /// Failures in the recent past, as a share from 0 to 1.
    pub failure_share: f64,
    /// Rendezvous hash of the server and the leading parts of the prompt.
    pub affinity: u64,
    /// Time saved by parts of the prompt that the server is believed to keep, in
    /// milliseconds.
    pub cached_millis: f64,
}

/// What a node knows of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestProfile {
    /// Time to read the prompt, in milliseconds; 0 for a plain request.
    pub prefill_millis: f64,
    /// Part of it for the leading parts that other requests share.
    pub shared_prefix_millis: f64,
    /// Longest pause between two events that keeps the streams of the service
    /// in time, in milliseconds; none where that does not matter.
    pub event_interval_limit_millis: Option<f64>,
    /// Work that other nodes may have sent to a server and that is not known here yet,
    /// in milliseconds: costs that differ by less do not tell servers apart.
    pub unreported_millis: f64,
}

impl RequestProfile {
    /// Time to read what the server is not believed to keep of the prompt.
    fn unread_millis(&self, candidate: &Candidate) -> f64 {
        (self.prefill_millis - candidate.cached_millis).max(0.0)
    }
}

/// Figures that costs are reckoned with, in milliseconds unless told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Added by each request that runs.
    pub per_running: f64,
    /// Added by each request beyond the server's slots.
    pub per_waiting: f64,
    /// Added where the server stands in another zone.
    pub other_zone: f64,
    /// Added where a connection has to be opened: it takes time, and servers
    /// have only so many.
    pub new_connection: f64,
    /// Added by a server all of whose recent answers failed.
    pub failing: f64,
    /// Added for each running stream and each millisecond of prompts beyond
    /// what its pauses bear.
    pub per_delayed_stream: f64,
    /// Costs that differ by no more do not tell servers apart. An open connection lasts, and
    /// whoever has it by chance would get every request of a lightly loaded node.
    pub tie_margin: f64,
}

/// Share of the longest pause that servers may spend on prompts; the rest is
/// for the tokens of one event. Mean worth of played days: at 0.6 one deployment
/// of three loses 0.01, at 0.85 none does.
const READING_SHARE_OF_PAUSE: f64 = 0.85;

impl CostModel {
    /// For model engines.
    pub const ENGINE: CostModel = CostModel {
        per_running: 0.6,
        per_waiting: 30.0,
        other_zone: 25.0,
        new_connection: 10.0,
        failing: 400.0,
        per_delayed_stream: 0.05,
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
        tie_margin: 3.0,
    };

    /// Milliseconds that are counted for the streams that run at a server and
    /// would pause for too long. A server reads prompts between the tokens of
    /// its streams, so prompts that wait for nearly the longest pause make all
    /// of them late at once: one live stream in ten, on a calm day.
    pub fn interference(&self, candidate: &Candidate, demand: &RequestProfile) -> f64 {
        let Some(pause) = demand.event_interval_limit_millis else { return 0.0 };
        let reading = candidate.backlog_millis + demand.unread_millis(candidate);
        let excess = reading - pause * READING_SHARE_OF_PAUSE;
        let streams = candidate.in_flight.min(candidate.slots);
        excess.max(0.0) * f64::from(streams) * self.per_delayed_stream
    }

    /// Expected milliseconds until the first byte.
    pub fn cost(&self, candidate: &Candidate, demand: &RequestProfile) -> f64 {
        let waiting = candidate.in_flight.saturating_sub(candidate.slots);
        let mut cost = candidate.pending_millis + demand.unread_millis(candidate);
        cost += self.per_running * f64::from(candidate.in_flight);
        cost += self.per_waiting * f64::from(waiting);
        if !candidate.same_zone {
            cost += self.other_zone;
        }
        if !candidate.has_idle_connection {
            cost += self.new_connection;
        }
        cost + self.failing * candidate.failure_share
    }
}

/// The server that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Expected milliseconds until the first byte.
    pub cost: f64,
    /// Whether streams that run there would pause for too long.
    pub delays_streams: bool,
}

/// The candidate with the least cost, interference with others included. The one
/// with the highest affinity counts the shared parts as kept. Of those whose costs do
/// not differ by more than what is not seen or does not matter, the one with the highest
/// affinity wins: by it requests of many nodes spread, which would else all take the server that was
/// told to be idle.
pub fn select(
    candidates: &[Candidate],
    demand: &RequestProfile,
    model: &CostModel,
) -> Option<Choice> {
    let favourite = (0..candidates.len()).max_by_key(|index| candidates[*index].affinity)?;
    let reckoned = candidates.iter().enumerate().map(|(index, known)| {
        let mut candidate = *known;
        if index == favourite {
            candidate.cached_millis = candidate.cached_millis.max(demand.shared_prefix_millis);
        }
        let cost = model.cost(&candidate, demand);
        let interference = model.interference(&candidate, demand);
        (cost + interference, Choice { index, cost, delays_streams: interference > 0.0 })
    });
    let reckoned: Vec<(f64, Choice)> = reckoned.collect();
    let least = reckoned.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let tie_margin = model.tie_margin.max(demand.unreported_millis);
    let alike = reckoned.into_iter().filter(|(cost, _)| *cost <= least + tie_margin);
    alike.map(|(_, choice)| choice).max_by_key(|choice| candidates[choice.index].affinity)
}
