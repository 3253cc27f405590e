//! Client of the platform's store: reads, watches, commits and leases.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::store_position::{StoreEra, StorePosition};

use crate::control_traffic::TrafficKind;
use crate::dialect::{Commit, CommitResult, Dialect, FormatError, Item, WatchResult};
use crate::http::client::{Call, CallClient, CallError, Response};
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::store_era::{EraTracker, PastEra};

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a call to the store failed.
#[derive(Debug)]
pub enum StoreError {
    /// The call got no response.
    Call(CallError),
    /// The response has an unexpected format.
    InvalidResponse(FormatError),
    /// The response is from an era that has ended.
    PastEra(StoreEra),
    /// A new era began between two pages of a read.
    EraChanged,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Call(error) => write!(formatter, "{error}"),
            StoreError::InvalidResponse(error) => write!(formatter, "{error}"),
            StoreError::PastEra(era) => {
                write!(formatter, "the response is from era {era}, which has ended")
            }
            StoreError::EraChanged => {
                write!(formatter, "a new era began between two pages of a read")
            }
        }
    }
}

impl From<FormatError> for StoreError {
    fn from(error: FormatError) -> StoreError {
        StoreError::InvalidResponse(error)
    }
}

impl From<PastEra> for StoreError {
    fn from(error: PastEra) -> StoreError {
        StoreError::PastEra(error.0)
    }
}

/// A response of the store, and the era that it is from.
#[derive(Clone, Copy, Debug)]
pub struct StoreResponse<Content> {
    /// Era of the store in which it responded.
    pub era: StoreEra,
    /// The parsed response, or the raw one.
    pub content: Content,
}

/// A lease, which is valid in one era of the store only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// Identifier; the store may assign it again in another era.
    pub id: u64,
    /// Era in which the lease was granted.
    pub era: StoreEra,
}

/// A client of the store. Every response is assigned to an era; responses of past eras are errors.
pub struct Store {
    dialect: Arc<dyn Dialect>,
    client: CallClient,
    metrics: Arc<Metrics>,
    eras: EraTracker,
}

/// A read of all items under a prefix, page by page. The copy has the position of the first page;
/// changes between the pages are delivered again by a watch from that position.
#[derive(Debug, Default)]
pub struct PagedRead {
    items: Vec<Item>,
    position: Option<StorePosition>,
}

impl PagedRead {
    /// Returns the copy, after all pages have been read.
    pub fn finish(self) -> Mirror {
        Mirror::from_items(self.items, self.position.unwrap_or_default())
    }
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(dialect: Arc<dyn Dialect>, address: SocketAddrV4, metrics: Arc<Metrics>) -> Store {
        let eras = EraTracker::new(metrics.clone());
        Store { dialect, client: CallClient::new(address), metrics, eras }
    }

    /// The tracker of the store's eras.
    pub fn eras(&self) -> &EraTracker {
        &self.eras
    }

    async fn call(
        &self,
        kind: TrafficKind,
        call: &Call,
        timeout: Duration,
    ) -> Result<StoreResponse<Response>, StoreError> {
        let newest_at_call = self.eras.newest();
        let response = self.client.call(call, timeout).await;
        let bytes = response.as_ref().map_or(0, |response| response.body.len());
        self.metrics.control.count(kind, 1, bytes);
        let content = response.map_err(StoreError::Call)?;
        let number = self.dialect.store_era(&content);
        let era = self.eras.note_answer(kind.name(), number, newest_at_call)?;
        Ok(StoreResponse { era, content })
    }

    /// Reads all items under a prefix, with the default timeout for each page.
    pub async fn read(&self, prefix: &str) -> Result<Mirror, StoreError> {
        self.read_with_timeout(prefix, CALL_TIMEOUT).await
    }

    /// Reads all items under a prefix, with a timeout for each page.
    pub async fn read_with_timeout(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<Mirror, StoreError> {
        let mut read = PagedRead::default();
        while self.read_page(prefix, &mut read, timeout).await? {}
        Ok(read.finish())
    }

    /// Reads the next page of a prefix into `read`. Returns whether there are more pages.
    pub async fn read_page(
        &self,
        prefix: &str,
        read: &mut PagedRead,
        timeout: Duration,
    ) -> Result<bool, StoreError> {
        let after = read.items.last().map(|item| item.key.as_str());
        let call = self.dialect.read_range(prefix, after);
        let response = self.call(TrafficKind::StoreRead, &call, timeout).await?;
        let range = self.dialect.parse_range(&response.content)?;
        let position = StorePosition { era: response.era, revision: range.revision };
        if read.position.get_or_insert(position).era != response.era {
            return Err(StoreError::EraChanged);
        }
        let more = range.more && !range.items.is_empty();
        read.items.extend(range.items);
        Ok(more)
    }

    /// Waits up to `wait` for changes under a prefix after a position. The response may take
    /// longer than `wait` by `slack`. The result is [`WatchResult::Compacted`] if the store is in
    /// another era than the position, because it then does not know the changes after it.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
        slack: Duration,
    ) -> Result<WatchResult, StoreError> {
        let call = self.dialect.watch(prefix, after.revision, wait);
        let response = self.call(TrafficKind::StoreWatch, &call, wait + slack).await?;
        let watched = self.dialect.parse_watch(&response.content)?;
        Ok(if response.era == after.era { watched } else { WatchResult::Compacted })
    }

    /// Closes the idle connections: after a call without a response on another connection, they
    /// may be dead as well.
    pub fn close_idle_connections(&self) {
        self.client.close_idle();
    }

    /// Writes items if the conditions of the commit hold.
    pub async fn commit(&self, commit: &Commit) -> Result<StoreResponse<CommitResult>, StoreError> {
        let call = self.dialect.commit(commit);
        let response = self.call(TrafficKind::StoreCommit, &call, CALL_TIMEOUT).await?;
        let content = self.dialect.parse_commit(&response.content)?;
        Ok(StoreResponse { era: response.era, content })
    }

    /// Requests a new lease.
    pub async fn grant_lease(&self, lifetime: Duration) -> Result<StoreLease, StoreError> {
        let call = self.dialect.grant_lease(lifetime);
        let response = self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await?;
        let id = self.dialect.parse_lease_grant(&response.content)?;
        Ok(StoreLease { id, era: response.era })
    }

    /// Renews a lease. Returns false if it has ended, which includes that its era has: in another
    /// era, the same identifier may belong to a lease of somebody else.
    pub async fn renew_lease(&self, lease: StoreLease) -> Result<bool, StoreError> {
        if lease.era < self.eras.newest() {
            return Ok(false);
        }
        let call = self.dialect.renew_lease(lease.id);
        let response = self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await?;
        Ok(self.dialect.parse_lease_renewal(&response.content)? && response.era == lease.era)
    }

    /// Revokes a lease. Does nothing if the lease's era has ended.
    pub async fn revoke_lease(&self, lease: StoreLease) -> Result<(), StoreError> {
        if lease.era < self.eras.newest() {
            return Ok(());
        }
        let call = self.dialect.revoke_lease(lease.id);
        self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await.map(|_| ())
    }
}
