//! The platform's store: reads, watches, commits and leases.

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

/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a call to the store failed.
#[derive(Debug)]
pub enum StoreError {
    /// There is no answer.
    Call(CallError),
    /// The answer is not what was expected.
    InvalidResponse(FormatError),
    /// The answer is of an era that is over.
    PastEra(StoreEra),
    /// An era began between the pages of a read.
    EraChanged,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Call(error) => write!(formatter, "{error}"),
            StoreError::InvalidResponse(error) => write!(formatter, "{error}"),
            StoreError::PastEra(era) => {
                write!(formatter, "the answer is of era {era}, which is over")
            }
            StoreError::EraChanged => write!(formatter, "an era began between two pages"),
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

/// What the store answered, and the era that it is of.
#[derive(Clone, Copy, Debug)]
pub struct StoreResponse<Content> {
    /// The era.
    pub era: StoreEra,
    /// What it answered.
    pub content: Content,
}

/// A lease, which the store knows in one era only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// Identifier; another era may give it out again.
    pub id: u64,
    /// The era.
    pub era: StoreEra,
}

/// A client of the store.
pub struct Store {
    dialect: Arc<dyn Dialect>,
    client: CallClient,
    metrics: Arc<Metrics>,
    eras: EraTracker,
}

/// A read of all items under a prefix, page by page. The copy is as of the first
/// page: what later pages bring beyond it is told again by the watch.
#[derive(Debug, Default)]
pub struct PagedRead {
    items: Vec<Item>,
    at: Option<StorePosition>,
}

impl PagedRead {
    /// The copy, when all pages have been read.
    pub fn finish(self) -> Mirror {
        Mirror::from_items(self.items, self.at.unwrap_or_default())
    }
}

impl Store {
    /// A client of the store at the address.
    pub fn new(dialect: Arc<dyn Dialect>, address: SocketAddrV4, metrics: Arc<Metrics>) -> Store {
        let eras = EraTracker::new(metrics.clone());
        Store { dialect, client: CallClient::new(address), metrics, eras }
    }

    /// The newest era that this node has heard of.
    pub fn eras(&self) -> &EraTracker {
        &self.eras
    }

    async fn call(
        &self,
        kind: TrafficKind,
        call: &Call,
        within: Duration,
    ) -> Result<StoreResponse<Response>, StoreError> {
        let newest_then = self.eras.newest();
        let answer = self.client.call(call, within).await;
        let bytes = answer.as_ref().map_or(0, |answer| answer.body.len());
        self.metrics.control.count(kind, 1, bytes);
        let content = answer.map_err(StoreError::Call)?;
        let number = self.dialect.store_era(&content);
        let era = self.eras.note_answer(kind.name(), number, newest_then)?;
        Ok(StoreResponse { era, content })
    }

    /// Reads all items under a prefix.
    pub async fn read(&self, prefix: &str) -> Result<Mirror, StoreError> {
        self.read_with_timeout(prefix, CALL_TIMEOUT).await
    }

    /// The same with a time for each page.
    pub async fn read_with_timeout(
        &self,
        prefix: &str,
        page: Duration,
    ) -> Result<Mirror, StoreError> {
        let mut read = PagedRead::default();
        while self.read_page(prefix, &mut read, page).await? {}
        Ok(read.finish())
    }

    /// Reads the next page of a prefix, with a time for the answer; tells whether
    /// there are more.
    pub async fn read_page(
        &self,
        prefix: &str,
        read: &mut PagedRead,
        within: Duration,
    ) -> Result<bool, StoreError> {
        let after = read.items.last().map(|item| item.key.as_str());
        let call = self.dialect.read_range(prefix, after);
        let answer = self.call(TrafficKind::StoreRead, &call, within).await?;
        let told = self.dialect.parse_range(&answer.content)?;
        let at = StorePosition { era: answer.era, revision: told.revision };
        if read.at.get_or_insert(at).era != answer.era {
            return Err(StoreError::EraChanged);
        }
        let more = told.more && !told.items.is_empty();
        read.items.extend(told.items);
        Ok(more)
    }

    /// Waits for changes under a prefix after a point in the store's history. `slack` is the
    /// time for the answer beyond the wait. A store of another era than that point's cannot
    /// tell what came after it.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
        slack: Duration,
    ) -> Result<WatchResult, StoreError> {
        let call = self.dialect.watch(prefix, after.revision, wait);
        let answer = self.call(TrafficKind::StoreWatch, &call, wait + slack).await?;
        let watched = self.dialect.parse_watch(&answer.content)?;
        Ok(if answer.era == after.era { watched } else { WatchResult::Compacted })
    }

    /// Uses none of the connections that rest: what was sent on another one has
    /// no answer, and they may have gone silent with it.
    pub fn close_idle_connections(&self) {
        self.client.close_idle();
    }

    /// Writes under conditions.
    pub async fn commit(&self, commit: &Commit) -> Result<StoreResponse<CommitResult>, StoreError> {
        let call = self.dialect.commit(commit);
        let answer = self.call(TrafficKind::StoreCommit, &call, CALL_TIMEOUT).await?;
        let content = self.dialect.parse_commit(&answer.content)?;
        Ok(StoreResponse { era: answer.era, content })
    }

    /// Asks for a lease.
    pub async fn grant_lease(&self, lifetime: Duration) -> Result<StoreLease, StoreError> {
        let call = self.dialect.grant_lease(lifetime);
        let answer = self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await?;
        let id = self.dialect.parse_lease_grant(&answer.content)?;
        Ok(StoreLease { id, era: answer.era })
    }

    /// Renews a lease; tells whether it goes on. In another era the store may have a lease
    /// of the same identifier that is somebody else's.
    pub async fn renew_lease(&self, lease: StoreLease) -> Result<bool, StoreError> {
        if lease.era < self.eras.newest() {
            return Ok(false);
        }
        let call = self.dialect.renew_lease(lease.id);
        let answer = self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await?;
        Ok(self.dialect.parse_lease_renewal(&answer.content)? && answer.era == lease.era)
    }

    /// Gives a lease back, unless its era is over.
    pub async fn revoke_lease(&self, lease: StoreLease) -> Result<(), StoreError> {
        if lease.era < self.eras.newest() {
            return Ok(());
        }
        let call = self.dialect.revoke_lease(lease.id);
        self.call(TrafficKind::StoreLease, &call, CALL_TIMEOUT).await.map(|_| ())
    }
}
