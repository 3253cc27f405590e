//! Many nodes choose among the same servers by load that they are told late.

use cometmoor_core::gateway::selection::{Candidate, CostModel, RequestProfile, select};

/// Servers that hold a busy model.
const SERVERS: usize = 8;
/// Milliseconds to read a prompt.
const READING: f64 = 110.0;
/// Milliseconds between two requests, each at another node: the servers read prompts
/// for three quarters of their time.
const BETWEEN: f64 = 18.0;
/// Prompts that wait for longer make the streams at the server pause for too long.
const LONGEST_WAIT: f64 = 425.0;
const REQUESTS: usize = 4_000;

/// Next number, by SplitMix64.
fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Share of the requests that make a server's prompts wait for too long, where nodes are
/// told the load each `age` milliseconds, and take costs that differ by less than
/// `unreported_millis` for alike.
fn late_share(age: f64, unreported_millis: f64) -> f64 {
    let demand =
        RequestProfile { prefill_millis: READING, unreported_millis, ..RequestProfile::default() };
    let mut random = 11;
    // When each server has read all that it was sent, and the same as nodes are told.
    let mut free_at = [0.0_f64; SERVERS];
    let mut told = free_at;
    let mut told_at = 0.0;
    let mut late = 0;
    for request in 0..REQUESTS {
        let now = request as f64 * BETWEEN;
        if now - told_at >= age {
            (told, told_at) = (free_at, now);
        }
        let candidates = told.map(|free| Candidate {
            slots: 64,
            same_zone: true,
            pending_millis: (free - now).max(0.0),
            affinity: draw(&mut random),
            ..Candidate::default()
        });
        let choice = select(&candidates, &demand, &CostModel::ENGINE).unwrap();
        let free = &mut free_at[choice.index];
        *free = free.max(now) + READING;
        late += usize::from(*free - now > LONGEST_WAIT);
    }
    late as f64 / REQUESTS as f64
}

/// On a day of 295 nodes nearly half of the streams with long answers paused for too
/// long, though servers read prompts for less than half of their time: prompts piled up
/// at servers that were told to be idle for as long as that word lasted, 0.6 s through
/// two hubs.
#[test]
fn prompts_pile_up_less_where_word_is_newer_and_like_servers_are_spread_over() {
    let old_word = late_share(600.0, 0.0);
    let newer_word = late_share(300.0, 0.0);
    let spread = late_share(300.0, 60.0);
    assert!(newer_word < 0.6 * old_word, "{newer_word} against {old_word}");
    assert!(spread < 0.6 * newer_word, "{spread} against {newer_word}");
}
