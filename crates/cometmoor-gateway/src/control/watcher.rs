//! Keeps the copies of the store's prefixes up to date.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use cometmoor_core::gateway::staleness::{NextCall, StalenessLimits, exponential_backoff};
use cometmoor_core::gateway::store_position::StorePosition;
use cometmoor_core::time::BootInstant;
use futures::future::{Either, select};
use spdlog::info;

use super::ControlContext;
use super::fleet::{
    ChangesReceived, FleetState, GetNextCall, GetPosition, GetReadPlan, GetRetryDelay,
    GetTimeUntilRefresh, ReadCompleted, ReadPlan, StoreCallFailed,
};
use crate::clock;
use crate::dialect::WatchResult;
use crate::peer::StorePrefix;
use crate::store::{PagedRead, StoreError};

/// Delay after changes of the servers, so that one answer delivers changes that occur shortly
/// after one another. It is a small part of the time within which a leaving server must get no
/// new work.
const BATCH_DELAY: Duration = Duration::from_millis(350);
/// Delay if the fleet state's actor has stopped, which happens only when the process ends.
const FALLBACK_DELAY: Duration = Duration::from_millis(1500);
/// Timeout of the first attempt at a full read, far above the usual time of an answer: a call
/// on a connection that has lost an answer never gets one.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks whether a peer's copy has arrived.
const PEER_COPY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of such checks before a node reads the store itself.
const MAX_PEER_COPY_CHECKS: u32 = 25;
/// Maximum time for which a node of a newly started fleet waits for a peer's copy before it
/// reads the store.
const MAX_START_WAIT: Duration = Duration::from_millis(2500);
/// Maximum timeout of an attempt at a full read, for a slow store.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(1600);
/// Minimum time between two checks of an open watch.
const MIN_WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait of a watch that the store answers immediately.
const NO_WAIT: Duration = Duration::ZERO;

/// What a watcher does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read everything, because this node has no copy yet.
    FirstRead,
    /// Read everything, because the copy cannot be brought up to date by changes.
    ReadAgain,
    /// Wait for changes, or leave that to other nodes, as the state of the fleet requires.
    Follow,
    /// The same, but poll once before the next watch, because the store has left a call without
    /// an answer.
    FollowAfterPoll,
}

impl Step {
    /// The step after a call that was not answered.
    fn after_failure(self) -> Step {
        match self {
            Step::Follow => Step::FollowAfterPoll,
            step => step,
        }
    }
}

/// Starts a task for each prefix.
pub fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) {
    for prefix in StorePrefix::ALL {
        let watcher = Watcher { context: context.clone(), fleet: fleet.clone(), prefix };
        actix_rt::spawn(watcher.run());
    }
}

struct Watcher {
    context: Rc<ControlContext>,
    fleet: Addr<FleetState>,
    prefix: StorePrefix,
}

impl Watcher {
    fn key_prefix(&self) -> &str {
        let dialect = &self.context.dialect;
        match self.prefix {
            StorePrefix::Configuration => dialect.configuration_key(),
            StorePrefix::Servers => dialect.servers_prefix(),
        }
    }

    async fn run(self) {
        let mut failures = 0;
        let mut futile_reads = 0;
        let mut next = match self.wait_for_peer_copy_at_start().await {
            true => Step::Follow,
            false => Step::FirstRead,
        };
        loop {
            match self.step(next, failures).await {
                Ok(following) => {
                    if following == Step::ReadAgain {
                        self.delay_next_read(futile_reads).await;
                        futile_reads += 1;
                    } else if next != Step::ReadAgain {
                        futile_reads = 0;
                    }
                    next = following;
                    failures = 0;
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.fleet.do_send(StoreCallFailed { prefix: self.prefix, reason });
                    let delay = self.fleet.send(GetRetryDelay(self.prefix, failures)).await;
                    clock::sleep(delay.unwrap_or(FALLBACK_DELAY)).await;
                    next = next.after_failure();
                    failures += 1;
                }
            }
        }
    }

    /// Waits before everything is read again, if `reads` full reads in a row have not led to a
    /// position from which the store can return changes.
    async fn delay_next_read(&self, reads: u32) {
        if let Some(failures) = reads.checked_sub(1) {
            let delay = self.fleet.send(GetRetryDelay(self.prefix, failures)).await;
            clock::sleep(delay.unwrap_or(FALLBACK_DELAY)).await;
        }
    }

    /// Waits for a peer's copy in a newly started fleet. Returns whether one has arrived.
    ///
    /// If a whole fleet starts at once, a few nodes read the store and the others fetch their
    /// copies from them: at 295 nodes, reads and watches by all of them were a third of the
    /// store's calls on a day without faults. The random wait is distributed so that one node in
    /// sixteen waits for less than a second, by which time it has heard from other nodes.
    async fn wait_for_peer_copy_at_start(&self) -> bool {
        let settings = &self.context.settings;
        let has_peers = settings.seeds.iter().any(|seed| *seed != settings.peer_address);
        if !settings.fresh_fleet || !has_peers {
            return false;
        }
        let wait = MAX_START_WAIT.mul_f64(rand::random::<f64>().cbrt());
        let end = clock::now() + wait;
        while clock::now() < end {
            // The other plans do not count yet: the node has heard from too few others to know
            // the readers.
            let plan = self.fleet.send(GetReadPlan(self.prefix)).await;
            if matches!(plan, Ok(ReadPlan::HasCopy)) {
                return true;
            }
            clock::sleep(PEER_COPY_CHECK_INTERVAL.min(end.since(clock::now()))).await;
        }
        false
    }

    fn limits(&self) -> StalenessLimits {
        self.context.settings.staleness_limits()
    }

    /// Reads everything or follows the changes. Returns the next step.
    async fn step(&self, step: Step, failures: u32) -> Result<Step, StoreError> {
        match step {
            Step::FirstRead | Step::ReadAgain => {
                let timeout = exponential_backoff(INITIAL_READ_TIMEOUT, failures, MAX_READ_TIMEOUT);
                self.read(step == Step::FirstRead, timeout).await?;
                Ok(Step::Follow)
            }
            Step::Follow | Step::FollowAfterPoll => self.follow(step, failures).await,
        }
    }

    async fn follow(&self, step: Step, failures: u32) -> Result<Step, StoreError> {
        // The actor stops only when the process ends.
        let answer = self.fleet.send(GetNextCall(self.prefix)).await;
        let idle = (NextCall::Wait(FALLBACK_DELAY), StorePosition::default());
        let (next, after) = answer.unwrap_or(idle);
        match next {
            NextCall::Wait(delay) => {
                clock::sleep(delay).await;
                Ok(step)
            }
            NextCall::Read => Ok(Step::ReadAgain),
            NextCall::Watch(wait) if step == Step::Follow => self.watch(after, wait).await,
            NextCall::Watch(_) | NextCall::Poll => self.poll(after, failures).await,
        }
    }

    /// Waits for changes. A watch that stays silent is abandoned when the copy has become too
    /// old, because its connection may be dead. When the watch's own timeout was awaited
    /// instead, nodes learned of no changes for 10.8 s (simulated days on which the store
    /// dropped the calls of nodes without an answer).
    async fn watch(&self, after: StorePosition, wait: Duration) -> Result<Step, StoreError> {
        let (store, requested_at) = (&self.context.store, clock::now());
        let watch = store.watch(self.key_prefix(), after, wait, self.limits().watch_grace());
        match select(pin!(watch), pin!(self.wait_until_refresh())).await {
            Either::Left((watched, _)) => self.handle_result(watched?, after, requested_at).await,
            Either::Right(((), _)) => {
                store.close_idle_connections();
                Ok(Step::FollowAfterPoll)
            }
        }
    }

    /// Waits until the copy is so old that this node has to call the store, or a new era of the
    /// store begins.
    async fn wait_until_refresh(&self) {
        let eras = self.context.store.eras();
        loop {
            let left = self.fleet.send(GetTimeUntilRefresh(self.prefix)).await;
            let left = left.unwrap_or(FALLBACK_DELAY);
            if left.is_zero() {
                return;
            }
            if clock::timeout(left.max(MIN_WATCH_CHECK_INTERVAL), eras.wait_for_new_era())
                .await
                .is_ok()
            {
                return;
            }
        }
    }

    /// Requests changes without waiting for new ones.
    async fn poll(&self, after: StorePosition, failures: u32) -> Result<Step, StoreError> {
        let (timeout, requested_at) = (self.limits().poll_timeout(failures), clock::now());
        let watched = self.context.store.watch(self.key_prefix(), after, NO_WAIT, timeout).await?;
        self.handle_result(watched, after, requested_at).await
    }

    /// Handles the answer to a watch that began at `requested_at`. Returns the next step.
    async fn handle_result(
        &self,
        watched: WatchResult,
        after: StorePosition,
        requested_at: BootInstant,
    ) -> Result<Step, StoreError> {
        match watched {
            WatchResult::Events(events) => {
                let is_batched = self.prefix == StorePrefix::Servers && !events.is_empty();
                let era = after.era;
                self.fleet.do_send(ChangesReceived {
                    prefix: self.prefix,
                    events,
                    era,
                    requested_at,
                });
                if is_batched {
                    clock::sleep(BATCH_DELAY).await;
                }
                Ok(Step::Follow)
            }
            WatchResult::Compacted => {
                let (what, after) = (self.prefix.name(), after.to_string());
                info!("[store] changes are no longer available; reading everything again", kv: { what, after });
                Ok(Step::ReadAgain)
            }
        }
    }

    /// Reads everything. If that is more than one page, a node that has no copy yet first waits
    /// for a peer's copy: at the largest fleet size a copy has megabytes, and all nodes may
    /// start at once.
    async fn read(&self, is_first: bool, page_timeout: Duration) -> Result<(), StoreError> {
        let known_position = self.fleet.send(GetPosition(self.prefix)).await.unwrap_or_default();
        let (mut read, requested_at) = (PagedRead::default(), clock::now());
        let store = &self.context.store;
        let mut more = store.read_page(self.key_prefix(), &mut read, page_timeout).await?;
        if more && is_first && self.wait_for_peer_copy().await {
            return Ok(());
        }
        while more {
            more = store.read_page(self.key_prefix(), &mut read, page_timeout).await?;
        }
        let mirror = read.finish();
        self.fleet.do_send(ReadCompleted {
            prefix: self.prefix,
            mirror,
            known_position,
            requested_at,
        });
        Ok(())
    }

    /// Waits for a peer's copy, unless this node is a reader. Returns whether one has arrived.
    async fn wait_for_peer_copy(&self) -> bool {
        for _ in 0..MAX_PEER_COPY_CHECKS {
            match self.fleet.send(GetReadPlan(self.prefix)).await {
                Ok(ReadPlan::WaitForPeers) => clock::sleep(PEER_COPY_CHECK_INTERVAL).await,
                Ok(ReadPlan::HasCopy) => return true,
                Ok(ReadPlan::Read) | Err(_) => return false,
            }
        }
        false
    }
}
