//! Keeps the copies of the store's prefixes new.

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
    CopyChanged, CopyFailed, CopyRead, FleetState, GetNextCall, GetPatienceLeft, GetPosition,
    GetReadPlan, GetRetryPause, ReadPlan,
};
use crate::clock;
use crate::dialect::Watched;
use crate::peer::Subject;
use crate::store::{PagedRead, StoreError};

/// Pause after changes of the servers, so that those that come close together
/// are told by one answer. It is a small part of the time within which a
/// leaving server must get no new work.
const GATHER: Duration = Duration::from_millis(350);
/// Pause where the state of the fleet is gone, which ends with the process.
const LONGEST_REST: Duration = Duration::from_millis(1500);
/// Time for the first try of a full read, far above what an answer takes: a
/// call on a connection that has lost an answer never gets one.
const FIRST_READ: Duration = Duration::from_millis(400);
/// Time between two looks whether a peer's copy has come.
const LOOK_FOR_PEERS: Duration = Duration::from_millis(100);
/// Such looks before a node reads the store itself.
const LOOKS_FOR_PEERS: u32 = 25;
/// Longest time for which a node of a fleet that starts anew waits for a peer's copy
/// before it reads the store.
const LONGEST_START_WAIT: Duration = Duration::from_millis(2500);
/// Longest time for a try of a full read, where the store is slow.
const LONGEST_READ: Duration = Duration::from_millis(1600);
/// Shortest pause before an open watch is looked at again.
const SHORTEST_LOOK: Duration = Duration::from_millis(20);
/// A watch that the store answers at once.
const NO_WAIT: Duration = Duration::ZERO;

/// What a watcher does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read everything, as a node that has no copy yet.
    FirstRead,
    /// Read everything, because the store has forgotten what has changed since.
    ReadAgain,
    /// Wait for changes, or leave that to others, as the fleet's state tells.
    Follow,
    /// The same, but ask without waiting before the store is waited for: it has
    /// left something without an answer.
    FollowDoubting,
}

impl Step {
    /// What comes after a call that was not answered.
    fn after_failure(self) -> Step {
        match self {
            Step::Follow => Step::FollowDoubting,
            step => step,
        }
    }
}

/// Starts a task for each prefix.
pub fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) {
    for subject in Subject::ALL {
        let watcher = Watcher { context: context.clone(), fleet: fleet.clone(), subject };
        actix_rt::spawn(watcher.run());
    }
}

struct Watcher {
    context: Rc<ControlContext>,
    fleet: Addr<FleetState>,
    subject: Subject,
}

impl Watcher {
    fn prefix(&self) -> &str {
        let dialect = &self.context.dialect;
        match self.subject {
            Subject::Configuration => dialect.configuration_key(),
            Subject::Servers => dialect.servers_prefix(),
        }
    }

    async fn run(self) {
        let mut failures = 0;
        let mut reads_in_vain = 0;
        let mut next = match self.peers_bring_start().await {
            true => Step::Follow,
            false => Step::FirstRead,
        };
        loop {
            match self.step(next, failures).await {
                Ok(following) => {
                    if following == Step::ReadAgain {
                        self.rest_after_reads(reads_in_vain).await;
                        reads_in_vain += 1;
                    } else if next != Step::ReadAgain {
                        reads_in_vain = 0;
                    }
                    next = following;
                    failures = 0;
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.fleet.do_send(CopyFailed { subject: self.subject, reason });
                    let pause = self.fleet.send(GetRetryPause(self.subject, failures)).await;
                    clock::sleep(pause.unwrap_or(LONGEST_REST)).await;
                    next = next.after_failure();
                    failures += 1;
                }
            }
        }
    }

    /// Rests before everything is read again, where so many reads before have not led to a
    /// point from which the store tells changes.
    async fn rest_after_reads(&self, reads: u32) {
        if let Some(failures) = reads.checked_sub(1) {
            let pause = self.fleet.send(GetRetryPause(self.subject, failures)).await;
            clock::sleep(pause.unwrap_or(LONGEST_REST)).await;
        }
    }

    /// Where a whole fleet starts at once, a few nodes read the store and the others take
    /// their copies: at 295 nodes, reads and watches by all of them were a third of the
    /// store's calls of a calm day. Waits are drawn so that one node in sixteen waits for
    /// less than a second: by then others have been heard. Tells whether a copy has come.
    async fn peers_bring_start(&self) -> bool {
        let settings = &self.context.settings;
        let has_others = settings.seeds.iter().any(|seed| *seed != settings.peer_address);
        if !settings.fresh_fleet || !has_others {
            return false;
        }
        let wait = LONGEST_START_WAIT.mul_f64(rand::random::<f64>().cbrt());
        let end = clock::now() + wait;
        while clock::now() < end {
            // Who is to read is not known yet: few others have been heard.
            let plan = self.fleet.send(GetReadPlan(self.subject)).await;
            if matches!(plan, Ok(ReadPlan::HasCopy)) {
                return true;
            }
            clock::sleep(LOOK_FOR_PEERS.min(end.since(clock::now()))).await;
        }
        false
    }

    fn limits(&self) -> StalenessLimits {
        self.context.settings.staleness()
    }

    /// Reads everything, or follows the changes; tells what comes next.
    async fn step(&self, step: Step, failures: u32) -> Result<Step, StoreError> {
        match step {
            Step::FirstRead | Step::ReadAgain => {
                let time = exponential_backoff(FIRST_READ, failures, LONGEST_READ);
                self.read(step == Step::FirstRead, time).await?;
                Ok(Step::Follow)
            }
            Step::Follow | Step::FollowDoubting => self.follow(step, failures).await,
        }
    }

    async fn follow(&self, step: Step, failures: u32) -> Result<Step, StoreError> {
        // The actor ends only with the process.
        let asked = self.fleet.send(GetNextCall(self.subject)).await;
        let idle = (NextCall::Wait(LONGEST_REST), StorePosition::default());
        let (next, after) = asked.unwrap_or(idle);
        match next {
            NextCall::Wait(rest) => {
                clock::sleep(rest).await;
                Ok(step)
            }
            NextCall::Read => Ok(Step::ReadAgain),
            NextCall::Watch(wait) if step == Step::Follow => self.watch(after, wait).await,
            NextCall::Watch(_) | NextCall::Poll => self.poll(after, failures).await,
        }
    }

    /// Waits for changes. A watch that says nothing is given up when the copy has
    /// become too old: its connection may have gone silent. Waiting for the
    /// watch's own time to pass instead left nodes without news for 10.8 s (played
    /// days on which the store turns nodes away in silence).
    async fn watch(&self, after: StorePosition, wait: Duration) -> Result<Step, StoreError> {
        let (store, asked) = (&self.context.store, clock::now());
        let watch = store.watch(self.prefix(), after, wait, self.limits().watch_grace());
        match select(pin!(watch), pin!(self.copy_becomes_too_old())).await {
            Either::Left((watched, _)) => self.take(watched?, after, asked).await,
            Either::Right(((), _)) => {
                store.distrust_connections();
                Ok(Step::FollowDoubting)
            }
        }
    }

    /// Waits until the copy is older than it may become, or an era of the store begins.
    async fn copy_becomes_too_old(&self) {
        let eras = self.context.store.eras();
        loop {
            let left = self.fleet.send(GetPatienceLeft(self.subject)).await;
            let left = left.unwrap_or(LONGEST_REST);
            if left.is_zero() {
                return;
            }
            if clock::timeout(left.max(SHORTEST_LOOK), eras.begins()).await.is_ok() {
                return;
            }
        }
    }

    /// Asks for changes without waiting.
    async fn poll(&self, after: StorePosition, failures: u32) -> Result<Step, StoreError> {
        let (time, asked) = (self.limits().poll_timeout(failures), clock::now());
        let watched = self.context.store.watch(self.prefix(), after, NO_WAIT, time).await?;
        self.take(watched, after, asked).await
    }

    /// Takes the answer to a call that began at `asked`.
    async fn take(
        &self,
        watched: Watched,
        after: StorePosition,
        asked: BootInstant,
    ) -> Result<Step, StoreError> {
        match watched {
            Watched::Events(events) => {
                let gathers = self.subject == Subject::Servers && !events.is_empty();
                let era = after.era;
                self.fleet.do_send(CopyChanged { subject: self.subject, events, era, asked });
                if gathers {
                    clock::sleep(GATHER).await;
                }
                Ok(Step::Follow)
            }
            Watched::Forgotten => {
                let (what, after) = (self.subject.name(), after.to_string());
                info!("[store] it cannot tell what has changed; all is read again", kv: { what, after });
                Ok(Step::ReadAgain)
            }
        }
    }

    /// Reads everything. Where that is more than a page, nodes that have no copy yet
    /// leave the rest to peers for a while: at the largest size a copy is megabytes,
    /// and all nodes may start at once.
    async fn read(&self, is_first: bool, read_time: Duration) -> Result<(), StoreError> {
        let known = self.fleet.send(GetPosition(self.subject)).await.unwrap_or_default();
        let (mut read, asked) = (PagedRead::default(), clock::now());
        let store = &self.context.store;
        let mut more = store.read_page(self.prefix(), &mut read, read_time).await?;
        if more && is_first && self.peers_bring_it().await {
            return Ok(());
        }
        while more {
            more = store.read_page(self.prefix(), &mut read, read_time).await?;
        }
        let mirror = read.finish();
        self.fleet.do_send(CopyRead { subject: self.subject, mirror, known, asked });
        Ok(())
    }

    /// Waits until a peer's copy has come; tells whether one has.
    async fn peers_bring_it(&self) -> bool {
        for _ in 0..LOOKS_FOR_PEERS {
            match self.fleet.send(GetReadPlan(self.subject)).await {
                Ok(ReadPlan::LeaveToPeers) => clock::sleep(LOOK_FOR_PEERS).await,
                Ok(ReadPlan::HasCopy) => return true,
                Ok(ReadPlan::Read) | Err(_) => return false,
            }
        }
        false
    }
}
