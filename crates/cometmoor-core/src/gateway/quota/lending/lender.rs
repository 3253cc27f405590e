//! The accounts of the limits for which a node lends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::account_state::{AccountState, LenderRole, PeerQuery, PendingQuery};
use super::lender_account::{LenderAccount, Requester, initial_tokens, max_leeway};
use super::message::{LendingMessage, TokenRequest, TokenResponse};
use super::reachability::Reachability;
use super::requesters::RecentRequesters;
use super::wait_queue::WaitQueue;
use crate::gateway::quota::bucket::TokenBucket;
use crate::gateway::quota::fleet_view::FleetView;
use crate::gateway::quota::{LenderDenial, QuotaBounds, QuotaKey};
use crate::time::BootInstant;

/// Time for which a node that has not responded to a probe is skipped.
const UNRESPONSIVE_SKIP: Duration = Duration::from_secs(2);
/// Longest wait for another node's handover or its response to a probe.
const QUERY_TIMEOUT: Duration = Duration::from_millis(90);
/// Time without a response after which a query is sent once more.
const QUERY_RESEND_AFTER: Duration = Duration::from_millis(35);
/// Time for which a seed's report that the fleet is running is valid.
const RUNNING_SEED_LIFETIME: Duration = Duration::from_secs(2);
/// Time without requests after which an account is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a node redirects requests after it has handed an account over.
const HANDOVER_MEMORY: Duration = Duration::from_secs(4);
/// A response to a node's token request.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingResponse {
    pub(super) to: SocketAddrV4,
    pub(super) key: QuotaKey,
    pub(super) number: u64,
    pub(super) response: TokenResponse,
}

/// Responses and messages to send after an event.
#[derive(Debug, Default)]
pub(super) struct LenderEffects {
    pub(super) responses: Vec<OutgoingResponse>,
    pub(super) messages: Vec<(SocketAddrV4, LendingMessage)>,
    pub(super) denials: Vec<LenderDenial>,
}

/// Status that a probed node reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerStatus {
    pub(super) node: SocketAddrV4,
    pub(super) is_lending: bool,
    pub(super) is_stable: bool,
}

/// The limits for which a node lends.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    bounds: QuotaBounds,
    accounts: BTreeMap<QuotaKey, LenderAccount>,
    handed_over: HashMap<QuotaKey, (SocketAddrV4, BootInstant)>,
    /// A seed that has reported that the fleet is running, and when.
    running_seed: Option<(SocketAddrV4, BootInstant)>,
    reachability: Reachability,
    next_account_id: u32,
}

/// Sends a query to nodes, and returns the state that awaits their responses.
fn query_peers(
    query: PeerQuery,
    peers: Vec<SocketAddrV4>,
    key: QuotaKey,
    now: BootInstant,
    effects: &mut LenderEffects,
) -> AccountState {
    let message = query.message(key);
    effects.messages.extend(peers.iter().map(|node| (*node, message)));
    AccountState::Awaiting(PendingQuery {
        query,
        unanswered: peers,
        sent_at: now,
        is_resent: false,
    })
}

impl Lender {
    /// A lender without accounts. Account numbers start at a random number for each process, so
    /// that tokens are not returned to an account of an earlier process.
    pub(super) fn new(bounds: QuotaBounds, first_account_id: u32) -> Lender {
        Lender {
            bounds,
            accounts: BTreeMap::new(),
            handed_over: HashMap::new(),
            running_seed: None,
            reachability: Reachability::default(),
            next_account_id: first_account_id,
        }
    }

    /// Closes all accounts, because their use by other nodes is no longer known.
    pub(super) fn close_all(&mut self) {
        self.accounts.clear();
        self.handed_over.clear();
    }

    /// Handles a token request.
    pub(super) fn receive_request(
        &mut self,
        from: SocketAddrV4,
        request: TokenRequest,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let key = request.key;
        let respond =
            |response| OutgoingResponse { to: from, key, number: request.number, response };
        if self.accounts.contains_key(&key) {
            return self.serve_from_account(from, request, fleet, now, effects);
        }
        if let Some((to, at)) = self.handed_over.get(&key)
            && now.since(*at) < HANDOVER_MEMORY
            && !request.is_failover
        {
            effects.responses.push(respond(TokenResponse::Redirect(*to)));
            return;
        }
        if !fleet.is_stable(now) {
            if request.is_bootstrap && fleet.is_seed() {
                return self.bootstrap_as_seed(from, request, fleet, now, effects);
            }
            effects.responses.push(respond(TokenResponse::NotReady));
            return;
        }
        match fleet.first_lender(key) {
            None => effects.responses.push(respond(TokenResponse::NotReady)),
            Some(first) if first == fleet.own() => {
                let state = self.initial_state(key, fleet, now, effects);
                self.open_account(request, state, fleet, now);
                self.serve_from_account(from, request, fleet, now, effects);
                self.conclude_if_unqueried(key, fleet, now, effects);
            }
            Some(_) if request.is_failover => {
                let ahead = fleet.lenders_above_own(key);
                let state =
                    query_peers(PeerQuery::HigherRankedLends, ahead.clone(), key, now, effects);
                self.probe_others(key, &ahead, fleet, now, effects);
                self.open_account(request, state, fleet, now);
                self.serve_from_account(from, request, fleet, now, effects);
            }
            Some(first) => effects.responses.push(respond(TokenResponse::Redirect(first))),
        }
    }

    /// Probes a sample of the other nodes, except unresponsive ones, to estimate how many are
    /// reachable.
    fn probe_others(
        &mut self,
        key: QuotaKey,
        unresponsive: &[SocketAddrV4],
        fleet: &FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        if !self.reachability.is_sample_due(now) {
            return;
        }
        let others: Vec<SocketAddrV4> = fleet
            .others()
            .filter(|node| !unresponsive.contains(node) && !fleet.is_skipped(*node, now))
            .collect();
        let probed = self.reachability.start_sample(&others, now);
        effects
            .messages
            .extend(probed.into_iter().map(|node| (node, LendingMessage::Probe { key })));
    }

    /// Sends probes again to the nodes of the last sample that have not responded.
    fn resend_probes(&mut self, now: BootInstant, effects: &mut LenderEffects) {
        let Some(key) = self.accounts.keys().next().copied() else { return };
        let unresponsive = self.reachability.probes_to_resend(now);
        effects
            .messages
            .extend(unresponsive.into_iter().map(|node| (node, LendingMessage::Probe { key })));
    }

    /// Opens an account at a seed without a stable view, unless another seed has one: then only
    /// this node is starting, not the fleet.
    fn bootstrap_as_seed(
        &mut self,
        from: SocketAddrV4,
        request: TokenRequest,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let (key, number) = (request.key, request.number);
        if let Some((seed, at)) = self.running_seed
            && now.since(at) < RUNNING_SEED_LIFETIME
        {
            let response = TokenResponse::Redirect(seed);
            return effects.responses.push(OutgoingResponse { to: from, key, number, response });
        }
        let seeds: Vec<SocketAddrV4> = fleet.other_seeds().collect();
        let state = match seeds.is_empty() {
            true => AccountState::Lending(LenderRole::Bootstrap),
            false => query_peers(PeerQuery::SeedInformed, seeds, key, now, effects),
        };
        self.open_account(request, state, fleet, now);
        self.serve_from_account(from, request, fleet, now, effects);
    }

    /// State of a new account at the first-ranked node. If another node may have lent within the
    /// last window, that node is asked what remains in its account.
    fn initial_state(
        &self,
        key: QuotaKey,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) -> AccountState {
        let departed = fleet.departed_lender_above_own(key, now);
        if departed.is_none() && fleet.time_since_start(now) >= self.bounds.window {
            return AccountState::Lending(LenderRole::Primary);
        }
        let second = fleet.lenders(key).get(1).copied();
        let has_started_recently = fleet.time_since_start(now) < self.bounds.window;
        let seeds = fleet.other_seeds().filter(|_| has_started_recently);
        let mut peers: Vec<SocketAddrV4> =
            departed.into_iter().chain(second).chain(seeds).collect();
        peers.sort_unstable();
        peers.dedup();
        query_peers(PeerQuery::Handover(None), peers, key, now, effects)
    }

    /// Opens an account. Its bucket is full only if no node can have lent within the last window.
    fn open_account(
        &mut self,
        request: TokenRequest,
        state: AccountState,
        fleet: &FleetView,
        now: BootInstant,
    ) {
        let is_full = state == AccountState::Lending(LenderRole::Primary);
        let share = fleet.live_share(now);
        let capacity = request.limit.burst * share;
        let level = if is_full { capacity } else { 0.0 };
        let leeway = if is_full { max_leeway(&self.bounds, &request.limit) * share } else { 0.0 };
        self.next_account_id = self.next_account_id.wrapping_add(1);
        let account = LenderAccount {
            id: self.next_account_id,
            state,
            limit: request.limit,
            bucket: TokenBucket::new(level, capacity, request.limit.per_second, now),
            leeway: TokenBucket::new(leeway, leeway, 0.0, now),
            initial_granted: 0.0,
            by_node: HashMap::new(),
            requesters: RecentRequesters::default(),
            held_requests: Vec::new(),
            last_requested: now,
            reserved_until: now,
            wait_queue: WaitQueue::default(),
        };
        self.accounts.insert(request.key, account);
    }

    /// Answers a request from an account, or holds it until the account lends.
    fn serve_from_account(
        &mut self,
        from: SocketAddrV4,
        request: TokenRequest,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let bounds = self.bounds;
        let Some(account) = self.accounts.get_mut(&request.key) else { return };
        account.last_requested = now;
        let fresh = Requester { last_response: None, last_return: 0 };
        let requester = account.by_node.entry(from).or_insert(fresh);
        let again = requester.last_response.filter(|(number, _)| *number == request.number);
        if let Some((number, response)) = again {
            effects.responses.push(OutgoingResponse {
                to: from,
                key: request.key,
                number,
                response,
            });
            return;
        }
        // Retries count once; otherwise the fleet would look smaller than it is.
        let was_denied =
            matches!(requester.last_response, Some((_, TokenResponse::DeniedProvisionally { .. })));
        let is_held = account.held_requests.iter().any(|(_, held)| held.number == request.number);
        if !was_denied && !is_held {
            account.requesters.record(from, now);
        }
        let AccountState::Lending(role) = account.state else {
            account.held_requests.retain(|(holder, _)| *holder != from);
            account.held_requests.push((from, request));
            return;
        };
        if request.limit.version > account.limit.version {
            account.limit = request.limit;
        }
        let first = fleet.first_lender(request.key).filter(|_| fleet.is_stable(now));
        let is_first = first == Some(fleet.own());
        if is_first && role == LenderRole::Fallback {
            account.promote_to_primary(&bounds, fleet.live_share(now));
        }
        let role = if is_first { LenderRole::Primary } else { role };
        account.state = AccountState::Lending(role);
        let response = match first {
            // The fleet has started; the first-ranked node will ask for what remains here.
            Some(first) if role == LenderRole::Bootstrap => TokenResponse::Redirect(first),
            _ => {
                account.update_rate(
                    role,
                    request.first_cost,
                    self.reachability.reached(now),
                    &bounds,
                    fleet,
                    now,
                );
                match role {
                    LenderRole::Primary => account.lend(&request, now),
                    LenderRole::Fallback | LenderRole::Bootstrap => {
                        account.lend_in_order(from, &request, bounds.max_fallback_wait, now)
                    }
                }
            }
        };
        if response.is_denial() {
            effects.denials.push(account.denial(from, &request, role, now));
        }
        if let Some(requester) = account.by_node.get_mut(&from) {
            requester.last_response = Some((request.number, response));
        }
        effects.responses.push(OutgoingResponse {
            to: from,
            key: request.key,
            number: request.number,
            response,
        });
    }

    /// Takes back tokens that a borrower returns.
    pub(super) fn receive_return(
        &mut self,
        from: SocketAddrV4,
        key: QuotaKey,
        number: u64,
        account_id: u32,
        tokens: f64,
    ) {
        let Some(account) = self.accounts.get_mut(&key) else { return };
        let Some(requester) = account.by_node.get_mut(&from) else { return };
        // A datagram may be duplicated, or refer to an earlier account.
        if account.id == account_id && number > requester.last_return {
            requester.last_return = number;
            account.bucket.refund(tokens);
        }
    }

    /// Hands an account over to the node that takes its place, and returns what remains in it.
    pub(super) fn hand_over(
        &mut self,
        to: SocketAddrV4,
        key: QuotaKey,
        now: BootInstant,
    ) -> Option<f64> {
        let is_lending =
            |account: &LenderAccount| matches!(account.state, AccountState::Lending(_));
        if !self.accounts.get(&key).is_some_and(is_lending) {
            return None;
        }
        let mut account = self.accounts.remove(&key)?;
        self.handed_over.insert(key, (to, now));
        let level = account.bucket.level(now);
        // This account does not know what other lenders have lent in parallel.
        let is_first = account.state == AccountState::Lending(LenderRole::Primary);
        Some(if is_first { level } else { level.min(initial_tokens(&self.bounds, &account.limit)) })
    }

    /// Handles a report of what remains in another node's account.
    pub(super) fn receive_handover(
        &mut self,
        node: SocketAddrV4,
        key: QuotaKey,
        level: Option<f64>,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let Some(account) = self.accounts.get_mut(&key) else { return };
        let AccountState::Awaiting(pending) = &mut account.state else { return };
        let PeerQuery::Handover(least) = &mut pending.query else { return };
        *least = match (*least, level) {
            (Some(known), Some(level)) => Some(known.min(level)),
            (known, level) => known.or(level),
        };
        pending.unanswered.retain(|queried| *queried != node);
        if pending.unanswered.is_empty() {
            self.conclude(key, fleet, now, effects);
        }
    }

    /// Handles the response to a probe: held requests are redirected to the node if it lends, or is
    /// a seed with a stable view. A first-ranked node that has restarted does not lend; this node
    /// lends until it is asked to hand over.
    pub(super) fn receive_probe_response(
        &mut self,
        peer: PeerStatus,
        key: QuotaKey,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let node = peer.node;
        self.reachability.note_response(node);
        let Some(account) = self.accounts.get_mut(&key) else { return };
        let AccountState::Awaiting(pending) = &mut account.state else { return };
        let should_redirect = match pending.query {
            PeerQuery::HigherRankedLends => peer.is_lending && pending.unanswered.contains(&node),
            PeerQuery::SeedInformed => peer.is_stable,
            PeerQuery::Handover(_) => return,
        };
        pending.unanswered.retain(|queried| *queried != node);
        if !should_redirect && !pending.unanswered.is_empty() {
            return;
        }
        if !should_redirect {
            return self.conclude(key, fleet, now, effects);
        }
        if pending.query == PeerQuery::SeedInformed {
            self.running_seed = Some((node, now));
        }
        let Some(account) = self.accounts.remove(&key) else { return };
        for (to, request) in account.held_requests {
            let response = TokenResponse::Redirect(node);
            effects.responses.push(OutgoingResponse { to, key, number: request.number, response });
        }
    }

    /// Whether this node lends for a limit, or would because it ranks first.
    pub(super) fn is_lender(&self, key: QuotaKey, fleet: &mut FleetView, now: BootInstant) -> bool {
        let is_first = fleet.first_lender(key) == Some(fleet.own());
        self.accounts.contains_key(&key) || (is_first && fleet.is_stable(now))
    }

    /// Starts lending from an account that has no node to query.
    fn conclude_if_unqueried(
        &mut self,
        key: QuotaKey,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let is_unqueried = self.accounts.get(&key).is_some_and(|account| {
            matches!(&account.state, AccountState::Awaiting(pending)
                if pending.unanswered.is_empty())
        });
        if is_unqueried {
            self.conclude(key, fleet, now, effects);
        }
    }

    /// Starts lending from an account after its query, and answers the held requests.
    fn conclude(
        &mut self,
        key: QuotaKey,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let bounds = self.bounds;
        let Some(account) = self.accounts.get_mut(&key) else { return };
        let initial = initial_tokens(&bounds, &account.limit) * fleet.live_share(now);
        let AccountState::Awaiting(pending) = &account.state else { return };
        let (role, level) = match pending.query {
            PeerQuery::Handover(least) => (LenderRole::Primary, least.unwrap_or(initial)),
            PeerQuery::HigherRankedLends => (LenderRole::Fallback, 0.0),
            PeerQuery::SeedInformed => (LenderRole::Bootstrap, 0.0),
        };
        account.state = AccountState::Lending(role);
        let (capacity, rate) = (account.bucket.capacity(), account.limit.per_second);
        account.bucket = TokenBucket::new(level, capacity, rate, now);
        for (from, request) in std::mem::take(&mut account.held_requests) {
            self.serve_from_account(from, request, fleet, now, effects);
        }
    }

    /// Handles timeouts of accounts, queries and probes.
    pub(super) fn tick(
        &mut self,
        fleet: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        self.accounts.retain(|_, account| now.since(account.last_requested) < IDLE_TIMEOUT);
        self.handed_over.retain(|_, (_, at)| now.since(*at) < HANDOVER_MEMORY);
        let is_fallback =
            |account: &LenderAccount| account.state == AccountState::Lending(LenderRole::Fallback);
        let fallback = self.accounts.iter().find(|(_, account)| is_fallback(account));
        if let Some(key) = fallback.map(|(key, _)| *key) {
            self.probe_others(key, &[], fleet, now, effects);
        }
        self.resend_probes(now, effects);
        let mut overdue = Vec::new();
        for (key, account) in &mut self.accounts {
            let AccountState::Awaiting(pending) = &mut account.state else { continue };
            let waited = now.since(pending.sent_at);
            if waited >= QUERY_TIMEOUT {
                overdue.push((*key, pending.query, pending.unanswered.clone()));
            } else if waited >= QUERY_RESEND_AFTER && !pending.is_resent {
                pending.is_resent = true;
                let message = pending.query.message(*key);
                effects.messages.extend(pending.unanswered.iter().map(|node| (*node, message)));
            }
        }
        for (key, query, unresponsive) in overdue {
            if query == PeerQuery::HigherRankedLends {
                unresponsive.iter().for_each(|node| fleet.skip_for(*node, UNRESPONSIVE_SKIP, now));
            }
            self.conclude(key, fleet, now, effects);
        }
    }

    /// Whether requests are held or responses of other nodes are awaited.
    pub(super) fn is_waiting(&self, now: BootInstant) -> bool {
        self.reachability.awaits_responses(now)
            || self.accounts.values().any(|account| !account.held_requests.is_empty())
    }

    /// Number of limits for which this node lends.
    pub(super) fn account_count(&self) -> usize {
        self.accounts.len()
    }
}
