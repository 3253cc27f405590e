//! Moves a running stream to another server, with the memory of its run.
//!
//! A run is moved when the leader is about to unload its model, or when its
//! server leaves. An unload waits for the runs of its model, seconds where
//! answers are long; a server that leaves may cut off what it still runs. The
//! memory is copied while the run goes on; only then the run stops, what is new
//! is copied, and the stream goes on at the other server behind the last event
//! that the client has. It stays one run, so routes that forbid repeats allow it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::selection::select;
use cometmoor_core::time::BootInstant;

use super::ForwardedRequest;
use super::exchange::Received;
use crate::clock;
use crate::dialect::{RunCopy, RunMove, RunMoveAnswer};
use crate::load::{PendingWork, model_key, server_key};
use crate::servers::Server;

/// Longest time for one call that copies a run's memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two looks for a server that can take the run.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Where a stream goes on.
pub(super) struct Continuation {
    /// The server that has the copy.
    pub(super) server: Rc<Server>,
    /// The copy.
    pub(super) copy: RunCopy,
}

/// Why a run should leave its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveReason {
    /// The server takes no new work: it leaves, or its entry is gone.
    ServerLeaves,
    /// The leader has withdrawn the model from the server.
    ModelLeaves,
}

impl MoveReason {
    fn name(self) -> &'static str {
        match self {
            MoveReason::ServerLeaves => "the server leaves",
            MoveReason::ModelLeaves => "the model leaves the server",
        }
    }
}

type MoveCall<'a> = Pin<Box<dyn Future<Output = Option<Continuation>> + 'a>>;

enum State<'a> {
    /// The run stays; the next look is due then.
    Staying(BootInstant),
    /// It is being moved.
    Moving(MoveCall<'a>),
    /// The move has ended; the run stays where there is no continuation.
    Ended(Option<Continuation>),
}

/// The move of one stream's run, if there is one.
pub(super) struct Migration<'a> {
    forward: &'a ForwardedRequest<'a>,
    source: &'a Rc<Server>,
    state: State<'a>,
}

impl<'a> Migration<'a> {
    /// Of a stream from a server.
    pub(super) fn new(forward: &'a ForwardedRequest<'a>, source: &'a Rc<Server>) -> Migration<'a> {
        Migration { forward, source, state: State::Staying(clock::now()) }
    }

    /// Begins to move the run, if it should leave its server and another one
    /// can take it. To be called behind each event that the client has.
    pub(super) fn begin_if_wanted(&mut self) {
        let State::Staying(look) = self.state else { return };
        let now = clock::now();
        if now < look {
            return;
        }
        let Some(reason) = self.forward.reason_to_move(self.source) else { return };
        self.state = State::Staying(now + LOOK_AGAIN_AFTER);
        let Some(target) = self.forward.target_of_move(self.source, now) else { return };
        let service = self.source.record().service.clone();
        if !self.forward.traffic.may_repeat(&service) {
            return;
        }
        let call = self.forward.move_run(self.source, target, reason);
        self.state = State::Moving(Box::pin(call));
    }

    /// Reads more of the stream while the run is being moved.
    pub(super) async fn read_more(&mut self, received: &mut Received) -> io::Result<bool> {
        if let State::Moving(call) = &mut self.state {
            tokio::select! {
                more = received.read_more() => return more,
                ended = call => self.state = State::Ended(ended),
            }
        }
        received.read_more().await
    }

    /// Where the stream goes on, once its connection has ended; none where the
    /// run was not moved.
    pub(super) async fn finish(self) -> Option<Continuation> {
        match self.state {
            State::Staying(_) => None,
            State::Moving(call) => call.await,
            State::Ended(continuation) => continuation,
        }
    }
}

impl ForwardedRequest<'_> {
    fn reason_to_move(&self, source: &Server) -> Option<MoveReason> {
        let model = self.facts.model.as_ref()?;
        if !self.traffic.settings.mechanisms.run_migration {
            return None;
        }
        // Without other requests nobody else brings the table up to date.
        self.traffic.servers.borrow_mut().update(&self.traffic.board.fleet.load());
        if !source.takes_work() {
            return Some(MoveReason::ServerLeaves);
        }
        let key = (server_key(&source.record().incarnation), model_key(&model.model, None));
        let withdrawn = self.traffic.board.placement.load().withdrawn.contains(&key);
        withdrawn.then_some(MoveReason::ModelLeaves)
    }

    /// The server that takes the run: one that holds its model and has a slot
    /// free, by what is known.
    fn target_of_move(&self, source: &Server, now: BootInstant) -> Option<Rc<Server>> {
        let fleet = self.traffic.board.fleet.load();
        let service = source.record().service.clone();
        let configuration = fleet.configuration.as_ref()?;
        let profile = configuration.services.get(&service)?.engine.as_ref()?;
        if !profile.supports_run_migration {
            return None;
        }
        let placement = self.traffic.board.placement.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let able =
            self.able_servers(table.of_service(&service), &placement, now).filter(|server| {
                !server.is_paused(now)
                    && self.traffic.signals.limit(server.hash()).is_none()
                    && self.traffic.signals.hold(server.hash(), now).is_none()
                    && server.record().incarnation != source.record().incarnation
            });
        let with_slot: Vec<_> = able
            .map(|server| (server, self.candidate(server, now)))
            .filter(|(_, candidate)| candidate.in_flight < candidate.slots)
            .collect();
        let candidates: Vec<_> = with_slot.iter().map(|(_, candidate)| *candidate).collect();
        let choice = select(&candidates, &self.demand(None, false), self.cost_model())?;
        Some(with_slot[choice.index].0.clone())
    }

    async fn move_run(
        &self,
        source: &Rc<Server>,
        target: Rc<Server>,
        reason: MoveReason,
    ) -> Option<Continuation> {
        let place = target.record().incarnation.clone();
        let _slot = self.traffic.loads.sent(&place, PendingWork::default());
        let RunMoveAnswer::Copied(_) = self.copy_run(source, &target, false).await? else {
            return None;
        };
        let moved = self.copy_run(source, &target, true).await?;
        self.log_move(&source.record().incarnation, &place, reason.name(), &moved);
        let (server, handle) = match moved {
            RunMoveAnswer::Copied(handle) => (target, handle),
            RunMoveAnswer::NoRoom(handle) => (source.clone(), handle?),
            RunMoveAnswer::NotMoved(_) => return None,
        };
        let copy = RunCopy { source: source.record().address, handle };
        Some(Continuation { server, copy })
    }

    /// Copies what the run has in memory; no answer tells nothing.
    async fn copy_run(
        &self,
        source: &Server,
        target: &Server,
        stops_run: bool,
    ) -> Option<RunMoveAnswer> {
        let record = source.record();
        let call = self.traffic.dialect.move_run(&RunMove {
            server: &record.id,
            request: &self.facts.id,
            target: target.record().address,
            stops_run,
        });
        match source.calls.call(&call, CALL_TIMEOUT).await {
            Ok(answer) => {
                let answer = self.traffic.dialect.parse_run_move(&answer);
                if !matches!(answer, RunMoveAnswer::Copied(_)) {
                    let reason = format!("{answer:?}");
                    self.log_failure("run not moved", "move", &record.incarnation, &reason);
                }
                Some(answer)
            }
            Err(error) => {
                self.log_failure("run not moved", "move", &record.incarnation, &error.to_string());
                None
            }
        }
    }
}
