//! Whether a part of prompts that crashes servers was kept from them, and whether requests that
//! share its other parts were served.

use std::time::Duration;

use super::check::{SLACK, Violation, answered, violation};
use super::history::{History, Kind, RequestRecord, Whom};

/// Crashes after which requests that reach servers count.
const COUNTED_AFTER_CRASHES: usize = 5;
/// The operators' bound on the time in which nodes tell each other.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that may reach servers later than that after that crash.
const MAX_LATE_ARRIVALS: usize = 3;
/// Requests of each kind from which on shares are compared.
const MIN_COMPARED: usize = 20;

/// All broken promises on parts of prompts.
pub(super) fn check(history: &History) -> Vec<Violation> {
    [crashing_part_is_kept, sound_prompts_are_served].iter().flat_map(|one| one(history)).collect()
}

/// By nodes that nothing has kept from hearing of it for [`super::check::CALM`].
fn crashing_part_is_kept(history: &History) -> Vec<Violation> {
    let Some(fifth) = history.prompt_crashes.get(COUNTED_AFTER_CRASHES - 1).copied() else {
        return Vec::new();
    };
    let requests = history.requests_by_id();
    let late = history.prompt_arrivals.iter().filter(|arrival| {
        arrival.crashes
            && arrival.at > fifth + CONTACT + SLACK
            && requests.get(&*arrival.id).is_some_and(|request| {
                history.is_calm(Whom::Node(request.node), request.sent, arrival.at)
            })
    });
    let count = late.count();
    let crashes = history.prompt_crashes.len();
    let what = || format!("{count} after the fifth crash at {fifth:?}, {crashes} crashes in all");
    let is_broken = count > MAX_LATE_ARRIVALS;
    is_broken
        .then(|| violation("a part that crashes servers is kept from them", what()))
        .into_iter()
        .collect()
}

/// While requests with the part still come: not less than half as often as before.
fn sound_prompts_are_served(history: &History) -> Vec<Violation> {
    let crashes = &history.prompt_crashes;
    let (Some(first), Some(counted)) = (
        crashes.first().copied(),
        crashes.get(COUNTED_AFTER_CRASHES - 1).or(crashes.last()).copied(),
    ) else {
        return Vec::new();
    };
    let sound = |is_counted: &dyn Fn(&RequestRecord) -> bool| {
        let prompts = history.requests.iter().filter(|request| {
            request.kind == Kind::Prompt { crashes: false }
                && is_counted(request)
                && history.is_calm(Whom::Node(request.node), request.sent, request.done)
        });
        answered(prompts)
    };
    let (before, all_before) = sound(&|request| request.done < first);
    let (after, all_after) = sound(&|request| request.sent > counted + 2 * CONTACT + SLACK);
    let is_compared = all_before.min(all_after) >= MIN_COMPARED;
    if !is_compared || after * all_before * 2 >= before * all_after {
        return Vec::new();
    }
    let what = format!("{after} of {all_after}, {before} of {all_before} before");
    vec![violation("prompts that share parts with one that crashes servers are served", what)]
}
