//! Whether what servers said of themselves in their answers was kept.

use std::collections::BTreeMap;
use std::time::Duration;

use super::check::{BOUND, SLACK, Violation, violation};
use super::history::{ArrivalRecord, History, RequestRecord};

/// Time from the first answer with a limit on, after which requests are counted.
const COUNTED_FROM: Duration = Duration::from_secs(3);
/// Span in which they are.
const WINDOW: Duration = Duration::from_secs(4);
/// Time that an answer may take to be heard by the node.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// Requests that one node may send to a server within the rest that it asked for.
const MOST_IN_REST: usize = 2;

/// An arrival and its request.
type Arrived<'a> = (&'a ArrivalRecord, &'a RequestRecord);

/// All broken promises about what servers say.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let servers = arrivals_by_server(history);
    let checks = [limit_holds, leaving_is_heard, rest_is_given];
    let of_servers = servers.values().flat_map(|arrived| {
        let arrived = arrived.as_slice();
        checks.into_iter().flat_map(move |check| check(history, arrived))
    });
    of_servers.collect()
}

fn arrivals_by_server(history: &History) -> BTreeMap<usize, Vec<Arrived<'_>>> {
    let requests = history.requests_by_id();
    let mut servers: BTreeMap<usize, Vec<Arrived<'_>>> = BTreeMap::new();
    for arrival in &history.arrivals {
        if let Some(request) = requests.get(arrival.id.as_str()) {
            servers.entry(arrival.server).or_default().push((arrival, request));
        }
    }
    servers
}

/// Spans of arrivals in which a server named one limit.
fn spans_of_limits<'a, 'h>(arrived: &'a [Arrived<'h>]) -> Vec<(f64, &'a [Arrived<'h>])> {
    let spans = arrived.chunk_by(|(one, _), (next, _)| one.says.limit == next.says.limit);
    spans.filter_map(|span| Some((span.first()?.0.says.limit?, span))).collect()
}

/// All nodes together, cut off or not, started again or not.
fn limit_holds(_: &History, arrived: &[Arrived<'_>]) -> Vec<Violation> {
    let broken = spans_of_limits(arrived).into_iter().filter_map(|(limit, span)| {
        let named = span.first()?.0.at;
        let counted: Vec<Duration> = span
            .iter()
            .map(|(arrival, _)| arrival.at)
            .filter(|at| *at >= named + COUNTED_FROM)
            .collect();
        let within = |first: usize| {
            counted[first..].iter().take_while(|at| **at <= counted[first] + WINDOW).count()
        };
        let most = (0..counted.len()).map(within).max()?;
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let server = span.first()?.0.server;
        let what = || format!("server {server} named {limit} at {named:?}: {most} in 4 s");
        (most as f64 > allowed).then(|| violation("a server's limit holds over all nodes", what()))
    });
    broken.collect()
}

/// By nodes that nothing has kept from hearing of it, from one another or from the server.
fn leaving_is_heard(history: &History, arrived: &[Arrived<'_>]) -> Vec<Violation> {
    let Some((first, _)) = arrived.iter().find(|(arrival, _)| arrival.says.leaves) else {
        return Vec::new();
    };
    let late = arrived.iter().filter(|(arrival, request)| {
        request.sent > first.at + HEARD_WITHIN + BOUND + SLACK
            && history.is_way_calm(request.node, arrival.server, first.at, arrival.at)
    });
    late.map(|(arrival, request)| {
        let what = format!("said so first at {:?}; {arrival:?}, {request:?}", first.at);
        violation("a server that says it leaves gets no new work", what)
    })
    .collect()
}

fn rest_is_given(history: &History, arrived: &[Arrived<'_>]) -> Vec<Violation> {
    let broken = arrived.iter().filter_map(|(asked, turned_away)| {
        let (rest, node) = (asked.says.rest?, turned_away.node);
        let (from, until) = (asked.at + HEARD_WITHIN, asked.at + rest);
        let in_rest = arrived.iter().filter(|(arrival, request)| {
            request.node == node && arrival.at > from && arrival.at < until
        });
        let count = in_rest.count();
        let is_calm = history.is_way_calm(node, asked.server, asked.at, until);
        let what = || format!("{count} of node {node} within {rest:?}; {asked:?}");
        (count > MOST_IN_REST && is_calm)
            .then(|| violation("a server gets the rest it asks for", what()))
    });
    broken.collect()
}
