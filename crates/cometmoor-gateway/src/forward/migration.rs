//! Live migration of a running stream to another server, with the memory of its run.
//!
//! A run is migrated when the leader is about to unload its model, or when its server is
//! leaving. An unload waits for the runs of its model, for seconds if responses are long, and a
//! server that leaves may abort what it still runs. The memory is copied while the run
//! continues. Then the run is stopped, the remaining changes are copied, and the stream
//! continues on the other server after the last event that the client has. It is still the same
//! run, so routes that forbid retries allow it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::selection::select;
use cometmoor_core::time::BootInstant;

use super::ForwardedRequest;
use super::exchange::ServerResponse;
use crate::clock;
use crate::dialect::{RunCopy, RunMigration, RunMigrationResponse};
use crate::load::{PendingPrefill, model_key, server_key};
use crate::servers::Server;

/// Timeout of one call that copies the memory of a run.
const COPY_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two searches for a server that can take over the run.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How a stream continues after its run was stopped.
pub(super) struct Continuation {
    /// The server that continues the run.
    pub(super) server: Rc<Server>,
    /// The copy of the run's memory.
    pub(super) copy: RunCopy,
}

/// What a migration means for a stream whose connection has ended.
pub(super) enum MigrationEnd {
    /// The run was stopped and continues on another server.
    Continued(Continuation),
    /// The run was not stopped, so its server has ended the stream.
    NotStopped,
    /// The run may have been stopped, so that its stream may have ended early.
    MayBeStopped,
}

/// Why a run should be migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MigrationReason {
    /// The server accepts no new requests: it is leaving, or its registry entry is gone.
    ServerLeaving,
    /// The leader has withdrawn the model from the server.
    ModelWithdrawn,
}

impl MigrationReason {
    fn name(self) -> &'static str {
        match self {
            MigrationReason::ServerLeaving => "the server is leaving",
            MigrationReason::ModelWithdrawn => "the model is being withdrawn",
        }
    }
}

type MigrationFuture<'a> = Pin<Box<dyn Future<Output = MigrationEnd> + 'a>>;

enum MigrationState<'a> {
    /// No migration has started; the next check is due at this time.
    Idle(BootInstant),
    /// The run is being migrated.
    InProgress(MigrationFuture<'a>),
    /// The migration has ended.
    Finished(MigrationEnd),
}

/// The migration of the run of one stream, if there is one.
pub(super) struct Migration<'a> {
    request: &'a ForwardedRequest<'a>,
    source: &'a Rc<Server>,
    state: MigrationState<'a>,
}

impl<'a> Migration<'a> {
    /// Creates the state of a stream whose run is at `source`, without a migration.
    pub(super) fn new(request: &'a ForwardedRequest<'a>, source: &'a Rc<Server>) -> Migration<'a> {
        Migration { request, source, state: MigrationState::Idle(clock::now()) }
    }

    /// Starts to migrate the run if there is a reason to and another server can take it over.
    /// Called each time after events were sent to the client.
    pub(super) fn start_if_needed(&mut self) {
        let MigrationState::Idle(next_check) = self.state else { return };
        let now = clock::now();
        if now < next_check {
            return;
        }
        let Some(reason) = self.request.migration_reason(self.source) else { return };
        self.state = MigrationState::Idle(now + CHECK_INTERVAL);
        let Some(target) = self.request.migration_target(self.source, now) else { return };
        let service = self.source.record().service.clone();
        if !self.request.traffic.try_retry(&service) {
            return;
        }
        let future = self.request.migrate_run(self.source, target, reason);
        self.state = MigrationState::InProgress(Box::pin(future));
    }

    /// Reads more of the stream while the migration proceeds.
    pub(super) async fn read_more(&mut self, response: &mut ServerResponse) -> io::Result<bool> {
        if let MigrationState::InProgress(future) = &mut self.state {
            tokio::select! {
                more = response.read_more() => return more,
                ended = future => self.state = MigrationState::Finished(ended),
            }
        }
        response.read_more().await
    }

    /// What the migration means for the stream, after its connection has ended.
    pub(super) async fn finish(self) -> MigrationEnd {
        match self.state {
            MigrationState::Idle(_) => MigrationEnd::NotStopped,
            MigrationState::InProgress(future) => future.await,
            MigrationState::Finished(end) => end,
        }
    }
}

impl ForwardedRequest<'_> {
    fn migration_reason(&self, source: &Server) -> Option<MigrationReason> {
        let model = self.metadata.model.as_ref()?;
        if !self.traffic.settings.mechanisms.run_migration {
            return None;
        }
        // If there are no other requests, nothing else updates the table.
        self.traffic.servers.borrow_mut().update(&self.traffic.board.fleet.load());
        if !source.accepts_requests() {
            return Some(MigrationReason::ServerLeaving);
        }
        let key = (server_key(&source.record().incarnation), model_key(&model.model, None));
        let withdrawn = self.traffic.board.placement.load().withdrawn.contains(&key);
        withdrawn.then_some(MigrationReason::ModelWithdrawn)
    }

    /// Selects the server that takes over the run, among those of the same software version that
    /// are believed to hold its model and to have a free slot.
    fn migration_target(&self, source: &Server, now: BootInstant) -> Option<Rc<Server>> {
        let fleet = self.traffic.board.fleet.load();
        let service = source.record().service.clone();
        let software = source.record().software_hash();
        let configuration = fleet.configuration.as_ref()?;
        let profile = configuration.services.get(&service)?.engine.as_ref()?;
        if !profile.supports_run_migration {
            return None;
        }
        let placement = self.traffic.board.placement.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let eligible = self
            .eligible_servers(table.of_service(&service), Some(software), &placement, now)
            .filter(|server| {
                !server.is_backing_off(now)
                    && self.traffic.signals.limit(server.hash()).is_none()
                    && self.traffic.signals.hold(server.hash(), now).is_none()
                    && server.record().incarnation != source.record().incarnation
            });
        let with_slot: Vec<_> = eligible
            .map(|server| (server, self.candidate(server, now)))
            .filter(|(_, candidate)| candidate.in_flight < candidate.slots)
            .collect();
        let candidates: Vec<_> = with_slot.iter().map(|(_, candidate)| *candidate).collect();
        let choice = select(&candidates, &self.request_profile(None, false), self.cost_model())?;
        Some(with_slot[choice.index].0.clone())
    }

    async fn migrate_run(
        &self,
        source: &Rc<Server>,
        target: Rc<Server>,
        reason: MigrationReason,
    ) -> MigrationEnd {
        let target_id = target.record().incarnation.clone();
        let _slot = self.traffic.loads.add_in_flight(&target_id, PendingPrefill::default());
        let first_copy = self.copy_run(source, &target, false).await;
        let Some(RunMigrationResponse::Copied(_)) = first_copy else {
            return MigrationEnd::NotStopped;
        };
        let Some(moved) = self.copy_run(source, &target, true).await else {
            return MigrationEnd::MayBeStopped;
        };
        self.log_migration(&source.record(), &target.record(), reason.name(), &moved);
        let (server, handle) = match moved {
            RunMigrationResponse::Copied(handle) => (target, handle),
            RunMigrationResponse::NoRoom(Some(handle)) => (source.clone(), handle),
            RunMigrationResponse::NotMoved(_) => return MigrationEnd::NotStopped,
            RunMigrationResponse::NoRoom(None) | RunMigrationResponse::Unknown(_) => {
                return MigrationEnd::MayBeStopped;
            }
        };
        let copy = RunCopy { source: source.record().address, handle };
        MigrationEnd::Continued(Continuation { server, copy })
    }

    /// Copies the memory of the run, and stops the run if `stop_run` is set. `None` if the call
    /// failed, so that its effect is unknown.
    async fn copy_run(
        &self,
        source: &Server,
        target: &Server,
        stop_run: bool,
    ) -> Option<RunMigrationResponse> {
        let record = source.record();
        let call = self.traffic.dialect.migrate_run(&RunMigration {
            server: &record.id,
            request: &self.metadata.id,
            target: target.record().address,
            stop_run,
        });
        match source.call_client.call(&call, COPY_TIMEOUT).await {
            Ok(answer) => {
                let answer = self.traffic.dialect.parse_run_migration(&answer);
                if !matches!(answer, RunMigrationResponse::Copied(_)) {
                    let reason = format!("{answer:?}");
                    self.log_failure("run migration failed", "move", &record.incarnation, &reason);
                }
                Some(answer)
            }
            Err(error) => {
                self.log_failure(
                    "run migration failed",
                    "move",
                    &record.incarnation,
                    &error.to_string(),
                );
                None
            }
        }
    }
}
