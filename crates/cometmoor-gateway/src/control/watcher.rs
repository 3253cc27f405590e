//! Keeps the copies of the store's prefixes new.

use std::rc::Rc;
use std::time::Duration;

use actix::Addr;

use super::ControlContext;
use super::fleet::{
    CopyChanged, CopyFailed, CopyRead, FleetState, GetReadPlan, GetWatchPlan, ReadPlan, WatchPlan,
};
use crate::dialect::Watched;
use crate::peer::Subject;
use crate::store::{PagedRead, StoreError};

/// Time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after changes of the servers, so that those that come close together
/// are told by one answer. It is a small part of the time within which a
/// leaving server must get no new work.
const GATHER: Duration = Duration::from_millis(350);
/// Pause of a node that learns from others before it looks whether it still does.
const LEFT_TO_READERS: Duration = Duration::from_millis(250);
/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);
/// Time for the first try of a full read, far above what an answer takes: a
/// call on a connection that has lost an answer never gets one.
const FIRST_READ: Duration = Duration::from_millis(400);
/// Time between two looks whether a peer's copy has come.
const LOOK_FOR_PEERS: Duration = Duration::from_millis(100);
/// Such looks before a node reads the store itself.
const LOOKS_FOR_PEERS: u32 = 25;
/// Longest time for a try of a full read, where the store is slow.
const LONGEST_READ: Duration = Duration::from_millis(1600);

/// What a watcher does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read everything, as a node that has no copy yet.
    FirstRead,
    /// Read everything, because the store has forgotten what has changed since.
    ReadAgain,
    /// Wait for changes.
    Watch,
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
        let mut pause = FIRST_PAUSE;
        let mut read_time = FIRST_READ;
        let mut next = Step::FirstRead;
        loop {
            match self.step(next, read_time).await {
                Ok(following) => {
                    next = following;
                    pause = FIRST_PAUSE;
                    read_time = FIRST_READ;
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.fleet.do_send(CopyFailed { subject: self.subject, reason });
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    read_time = (read_time * 2).min(LONGEST_READ);
                }
            }
        }
    }

    /// Reads everything, or waits for changes; tells what comes next.
    async fn step(&self, step: Step, read_time: Duration) -> Result<Step, StoreError> {
        if step != Step::Watch {
            self.read(step == Step::FirstRead, read_time).await?;
            return Ok(Step::Watch);
        }
        // The actor ends only with the process.
        let plan = self.fleet.send(GetWatchPlan(self.subject)).await;
        let Ok(WatchPlan::WatchAfter(after)) = plan else {
            tokio::time::sleep(LEFT_TO_READERS).await;
            return Ok(Step::Watch);
        };
        match self.context.store.watch(self.prefix(), after, WATCH_WAIT).await? {
            Watched::Events { events, at } => {
                let gathers = self.subject == Subject::Servers && !events.is_empty();
                self.fleet.do_send(CopyChanged { subject: self.subject, events, at });
                if gathers {
                    tokio::time::sleep(GATHER).await;
                }
                Ok(Step::Watch)
            }
            Watched::Forgotten => Ok(Step::ReadAgain),
        }
    }

    /// Reads everything. Where that is more than a page, nodes that have no copy yet
    /// leave the rest to peers for a while: at the largest size a copy is megabytes,
    /// and all nodes may start at once.
    async fn read(&self, is_first: bool, read_time: Duration) -> Result<(), StoreError> {
        let mut read = PagedRead::default();
        let store = &self.context.store;
        let mut more = store.read_page(self.prefix(), &mut read, read_time).await?;
        if more && is_first && self.peers_bring_it().await {
            return Ok(());
        }
        while more {
            more = store.read_page(self.prefix(), &mut read, read_time).await?;
        }
        self.fleet.do_send(CopyRead { subject: self.subject, mirror: read.finish() });
        Ok(())
    }

    /// Waits until a peer's copy has come; tells whether one has.
    async fn peers_bring_it(&self) -> bool {
        for _ in 0..LOOKS_FOR_PEERS {
            match self.fleet.send(GetReadPlan(self.subject)).await {
                Ok(ReadPlan::LeaveToPeers) => tokio::time::sleep(LOOK_FOR_PEERS).await,
                Ok(ReadPlan::HasCopy) => return true,
                Ok(ReadPlan::Read) | Err(_) => return false,
            }
        }
        false
    }
}
