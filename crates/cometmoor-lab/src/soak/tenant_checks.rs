//! Whether keys, tenants and limits were kept, from what was seen.

use std::collections::HashSet;
use std::time::Duration;

use super::check::{BOUND, CALM, Ran, Violation, violation};
use super::history::{Ended, History, RequestRecord, Whom};
use super::tenants::{
    Credential, LIBRARY, LIMIT_EXCESS, LIMIT_WINDOW, LimitRecord, REVOCATION_BOUND,
};

/// Share of the requests of a tenant within its limit that may be refused for it while nodes
/// are killed and frozen.
const REFUSED_WITHIN: f64 = 0.05;

/// All broken promises about tenants.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let ran = history.ran();
    let checks = [own_tenant, only_keys_that_hold, taken_key_runs_nothing, limits_hold];
    let of_runs = checks.into_iter().flat_map(|check| check(history, &ran));
    let of_answers =
        [good_key_is_let_in, within_limit_is_served].into_iter().flat_map(|check| check(history));
    of_runs.chain(of_answers).chain(keys_are_shown_to_nobody(history)).collect()
}

fn own_tenant(history: &History, ran: &[Ran<'_>]) -> Vec<Violation> {
    let expected = |credential| match credential {
        Credential::Key(place) => Some(history.keys[place].tenant),
        _ => None,
    };
    let wrong =
        ran.iter().filter(|(run, request)| run.tenant.as_deref() != expected(request.credential));
    wrong
        .map(|(run, request)| {
            violation("servers are told the key's tenant", format!("{run:?}, {request:?}"))
        })
        .collect()
}

fn only_keys_that_hold(_: &History, ran: &[Ran<'_>]) -> Vec<Violation> {
    let strange = ran.iter().filter(|(_, request)| {
        matches!(request.credential, Credential::Missing | Credential::Unknown)
    });
    strange
        .map(|(run, request)| {
            violation("nothing runs without a key", format!("{run:?}, {request:?}"))
        })
        .collect()
}

/// On any node, whatever has happened to it.
fn taken_key_runs_nothing(history: &History, ran: &[Ran<'_>]) -> Vec<Violation> {
    let late = ran.iter().filter_map(|(run, request)| {
        let Credential::Key(place) = request.credential else { return None };
        let taken = history.keys[place].taken?;
        let what = || format!("taken away at {taken:?}; {run:?}, {request:?}");
        let broken = request.sent > taken + REVOCATION_BOUND;
        broken.then(|| violation("a key that was taken away runs nothing", what()))
    });
    late.collect()
}

/// A key holds on each node after the bound on configurations, also on one that is cut off:
/// a node that cannot know says so, and not that the key is nobody's.
fn good_key_is_let_in(history: &History) -> Vec<Violation> {
    let denied = history.requests.iter().filter(|request| {
        let Credential::Key(place) = request.credential else { return false };
        let key = &history.keys[place];
        let known_from = if key.granted.is_zero() { key.granted } else { key.granted + BOUND };
        let held = known_from <= request.sent && key.taken.is_none_or(|at| at > request.done);
        held && request.ended == Ended::Unauthorized
    });
    denied.map(|request| violation("a key that holds is let in", format!("{request:?}"))).collect()
}

fn within_limit_is_served(history: &History) -> Vec<Violation> {
    let of_tenant = |request: &&RequestRecord| match request.credential {
        Credential::Key(place) => history.keys[place].tenant == LIBRARY,
        _ => false,
    };
    let sent = history.requests.iter().filter(of_tenant).count();
    let refused = history.requests.iter().filter(of_tenant);
    let refused = refused.filter(|request| request.ended == Ended::NotRun(429)).count();
    if refused as f64 <= REFUSED_WITHIN * sent as f64 {
        return Vec::new();
    }
    vec![violation("nobody within a limit is refused for it", format!("{refused} of {sent}"))]
}

/// What a tenant may run in a window beside its limit's excess.
fn limits_hold(history: &History, ran: &[Ran<'_>]) -> Vec<Violation> {
    let tenants: HashSet<&str> = history.limits.iter().map(|limit| limit.tenant).collect();
    tenants.into_iter().filter_map(|tenant| exceeded(history, ran, tenant)).collect()
}

fn exceeded(history: &History, ran: &[Ran<'_>], tenant: &str) -> Option<Violation> {
    let mut counted = HashSet::new();
    // A request that is repeated counts once.
    let of_tenant = ran.iter().filter(|(run, request)| {
        let is_own = matches!(request.credential, Credential::Key(place)
            if history.keys[place].tenant == tenant);
        is_own && counted.insert(run.id.as_str())
    });
    let mut times: Vec<Duration> = of_tenant.map(|(run, _)| run.at).collect();
    times.sort_unstable();
    let mut first = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + LIMIT_WINDOW < *at {
            first += 1;
        }
        let (inside, most) = (last + 1 - first, most_in_window(history, tenant, *at));
        if inside as f64 > most {
            let what = format!("{tenant}: {inside} of {most} in the window until {at:?}");
            return Some(violation("a limit holds over all nodes", what));
        }
    }
    None
}

/// Requests of a tenant that may run in the window before a time: by the largest limit that
/// may have been in force in it.
fn most_in_window(history: &History, tenant: &str, until: Duration) -> f64 {
    let limits: Vec<&LimitRecord> = history
        .limits
        .iter()
        .filter(|limit| limit.tenant == tenant && limit.from <= until)
        .collect();
    let binding = limits.iter().rposition(|limit| binds_before(history, limit, until));
    let in_force = &limits[binding.unwrap_or_default()..];
    let per_second = in_force.iter().map(|limit| limit.per_second).fold(0.0, f64::max);
    (per_second * LIMIT_WINDOW.as_secs_f64() + per_second) * (1.0 + LIMIT_EXCESS)
}

/// Whether all nodes have known a limit for a window: nothing has kept any of them from it
/// for as long as a configuration may take.
fn binds_before(history: &History, limit: &LimitRecord, until: Duration) -> bool {
    if limit.from.is_zero() {
        return true;
    }
    let mut from = limit.from;
    while let Some(struck) = history.disturbances.iter().find(|struck| {
        matches!(struck.whom, Whom::Node(_))
            && struck.from < from + BOUND
            && struck.until + CALM > from
    }) {
        from = struck.until + CALM;
    }
    from + BOUND + LIMIT_WINDOW <= until
}

fn keys_are_shown_to_nobody(history: &History) -> Vec<Violation> {
    let shown = history.runs.iter().filter(|run| run.shows_key);
    let shown = shown.map(|run| violation("a key reaches no server", format!("{run:?}")));
    let logged = history.logged_keys.iter().cloned();
    shown.chain(logged.map(|line| violation("a key reaches no log", line))).collect()
}
