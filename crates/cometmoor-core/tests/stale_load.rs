//! Many nodes select among the same servers by load reports that are out of date.

use cometmoor_core::gateway::selection::{Candidate, CostModel, RequestProfile, select};

/// Number of servers that hold a busy model.
const SERVERS: usize = 8;
/// Prefill time of a prompt, in milliseconds.
const PREFILL_MILLIS: f64 = 110.0;
/// Milliseconds between two requests, each at a different node. The servers spend three quarters
/// of their time on prefill.
const REQUEST_INTERVAL_MILLIS: f64 = 18.0;
/// A longer prefill backlog delays the streams at the server for too long, in milliseconds.
const MAX_BACKLOG_MILLIS: f64 = 425.0;
const REQUESTS: usize = 4_000;

/// Next random number, by SplitMix64.
fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Share of the requests that raise a server's backlog above the limit, if nodes receive the load
/// every `report_interval` milliseconds and treat costs that differ by no more than
/// `unreported_millis` as equal.
fn late_share(report_interval: f64, unreported_millis: f64) -> f64 {
    let demand = RequestProfile {
        prefill_millis: PREFILL_MILLIS,
        unreported_millis,
        ..RequestProfile::default()
    };
    let mut random = 11;
    // When each server will have processed all its prompts, and the same as last reported.
    let mut free_at = [0.0_f64; SERVERS];
    let mut reported = free_at;
    let mut reported_at = 0.0;
    let mut late = 0;
    for request in 0..REQUESTS {
        let now = request as f64 * REQUEST_INTERVAL_MILLIS;
        if now - reported_at >= report_interval {
            (reported, reported_at) = (free_at, now);
        }
        let candidates = reported.map(|free| Candidate {
            slots: 64,
            same_zone: true,
            pending_millis: (free - now).max(0.0),
            affinity: draw(&mut random),
            ..Candidate::default()
        });
        let choice = select(&candidates, &demand, &CostModel::ENGINE).unwrap();
        let free = &mut free_at[choice.index];
        *free = free.max(now) + PREFILL_MILLIS;
        late += usize::from(*free - now > MAX_BACKLOG_MILLIS);
    }
    late as f64 / REQUESTS as f64
}

/// Guards against prompts piling up at servers that were last reported to be idle. In a run with
/// 295 nodes, load reports were 0.6 s old after passing through two hubs, and nearly half of the
/// streams with long answers paused for too long, although servers spent less than half of their
/// time on prefill.
#[test]
fn fresher_reports_and_spreading_over_ties_reduce_prompt_pile_up() {
    let stale = late_share(600.0, 0.0);
    let fresher = late_share(300.0, 0.0);
    let spread = late_share(300.0, 60.0);
    assert!(fresher < 0.6 * stale, "{fresher} against {stale}");
    assert!(spread < 0.6 * fresher, "{spread} against {fresher}");
}
