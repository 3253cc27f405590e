//! Start-time fair queueing over the tenants of one priority.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::Place;

/// Tokens that are charged for a request that does not declare them: about a short prompt and its
/// response.
pub const TOKENS_IF_UNDECLARED: u64 = 500;
/// Maximum number of tokens that one request is charged, and by which a tenant's tag may be ahead
/// of the virtual time. A tenant that has used servers that nobody else wanted then waits behind
/// others for at most this many of their tokens.
pub const MAX_TOKENS: u64 = 131_072;
/// Maximum number of tenants without waiting requests whose tags are kept.
const MAX_IDLE_TENANTS: usize = 256;

#[derive(Clone, Debug, Default)]
struct Share {
    /// Virtual start time of the tenant's next request.
    start_tag: u64,
    places: BTreeSet<Place>,
}

/// Virtual times in tokens, with equal weights.
///
/// The start tag belongs to the tenant, not to each of its requests, and rises only when a request
/// is sent: requests that are refused cost nothing. The virtual time is the lowest tag of the
/// tenants that wait, so that a tenant that was idle starts beside the one that was served least.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    virtual_time: u64,
    tenants: HashMap<Arc<str>, Share>,
}

impl FairShares {
    /// Number of tenants with waiting requests.
    pub fn waiting_tenants(&self) -> usize {
        self.tenants.values().filter(|share| !share.places.is_empty()).count()
    }

    /// Number of tenants that are kept.
    pub fn kept_tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Number of waiting requests of a tenant.
    pub fn waiting_of(&self, tenant: &str) -> usize {
        self.tenants.get(tenant).map_or(0, |share| share.places.len())
    }

    /// The tenant with the most waiting requests, and their number.
    pub(super) fn longest(&self) -> Option<(&Arc<str>, usize)> {
        let lengths = self.tenants.iter().map(|(tenant, share)| (tenant, share.places.len()));
        lengths.max_by_key(|(tenant, length)| (*length, *tenant))
    }

    /// The last place of a tenant's waiting requests.
    pub(super) fn last_of(&self, tenant: &str) -> Option<Place> {
        self.tenants.get(tenant)?.places.last().copied()
    }

    /// Virtual start time of the tenant's next request.
    pub fn start_tag(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, |share| share.start_tag).max(self.virtual_time)
    }

    pub(super) fn enter(&mut self, tenant: &Arc<str>, place: Place) {
        let start_tag = self.start_tag(tenant);
        let share = self.tenants.entry(tenant.clone()).or_default();
        share.start_tag = start_tag;
        share.places.insert(place);
    }

    pub(super) fn leave(&mut self, tenant: &str, place: Place) {
        if let Some(share) = self.tenants.get_mut(tenant) {
            share.places.remove(&place);
        }
        self.advance();
    }

    /// Charges a tenant for a request that is sent.
    pub fn charge(&mut self, tenant: &Arc<str>, tokens: Option<u64>) {
        let start_tag = self.start_tag(tenant);
        let tokens = tokens.unwrap_or(TOKENS_IF_UNDECLARED).clamp(1, MAX_TOKENS);
        if self.waiting_tenants() == 0 {
            // Nobody waits, so the use is not counted against the tenant later.
            self.virtual_time = start_tag;
        }
        let most = self.virtual_time.saturating_add(MAX_TOKENS);
        let share = self.tenants.entry(tenant.clone()).or_default();
        share.start_tag = start_tag.saturating_add(tokens).min(most);
        self.advance();
    }

    fn advance(&mut self) {
        let waiting = self.tenants.values().filter(|share| !share.places.is_empty());
        if let Some(lowest) = waiting.map(|share| share.start_tag).min() {
            self.virtual_time = self.virtual_time.max(lowest);
        }
        self.drop_idle_tenants();
    }

    /// Drops tenants that would start at the virtual time anyway, and all idle ones beyond a limit.
    fn drop_idle_tenants(&mut self) {
        let virtual_time = self.virtual_time;
        self.tenants.retain(|_, share| !share.places.is_empty() || share.start_tag > virtual_time);
        if self.tenants.len() > self.waiting_tenants() + MAX_IDLE_TENANTS {
            self.tenants.retain(|_, share| !share.places.is_empty());
        }
    }
}
