//! The actor that holds the configuration in force and the time of the newest
//! store read, by which its freshness is judged.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Context, Handler, Message, MessageResult};
use cometmoor_core::configuration::{Applied, Configuration, Update};
use cometmoor_core::time::Timestamp;
use spdlog::info;
use tokio::sync::watch;

use super::snapshot::group_access;
use crate::context::NodeContext;
use crate::telemetry::log::Part;

/// Owns the configuration in force and publishes each new generation of it.
pub struct ConfigurationActor {
    context: Arc<NodeContext>,
    configuration: Configuration,
    /// Time of the newest store read known, by this node or a peer; none before
    /// the first.
    newest_store_read: Option<Timestamp>,
    generation_sender: watch::Sender<u64>,
}

impl ConfigurationActor {
    /// Starts with an empty configuration. Each generation that comes into force
    /// is also sent to `generation_sender`.
    pub fn new(context: Arc<NodeContext>, generation_sender: watch::Sender<u64>) -> Self {
        ConfigurationActor {
            context,
            configuration: Configuration::default(),
            newest_store_read: None,
            generation_sender,
        }
    }

    fn publish(&self) {
        let catalog = self.configuration.catalog().clone();
        let generation = self.configuration.generation();
        let access = Arc::new(group_access(&catalog));
        self.context.published.update(|snapshot| {
            snapshot.generation = generation;
            snapshot.catalog = catalog;
            snapshot.access = access;
        });
        self.generation_sender.send_replace(generation);
        info!("{} generation {generation} is in force", Part::Configuration);
    }
}

impl Actor for ConfigurationActor {
    type Context = Context<Self>;
}

/// Applies an update from the store, a peer or an operator's change. An update
/// with nothing newer is ignored.
#[derive(Message)]
#[rtype(result = "Applied")]
pub struct ApplyUpdate(pub Update);

impl Handler<ApplyUpdate> for ConfigurationActor {
    type Result = MessageResult<ApplyUpdate>;

    fn handle(&mut self, update: ApplyUpdate, _: &mut Context<Self>) -> Self::Result {
        let applied = self.configuration.apply(update.0);
        if applied == Applied::Advanced {
            self.publish();
        }
        MessageResult(applied)
    }
}

/// Requests the update that brings a peer or a watching client from this
/// generation to the current one; none if it is up to date.
#[derive(Message)]
#[rtype(result = "Option<Update>")]
pub struct UpdateSince(pub u64);

impl Handler<UpdateSince> for ConfigurationActor {
    type Result = MessageResult<UpdateSince>;

    fn handle(&mut self, since: UpdateSince, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.configuration.update_since(since.0))
    }
}

/// Records that this node or a peer read the store this long ago. An older read
/// than the newest known is ignored.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RecordStoreRead(pub Duration);

impl Handler<RecordStoreRead> for ConfigurationActor {
    type Result = ();

    fn handle(&mut self, read: RecordStoreRead, _: &mut Context<Self>) {
        let age = u64::try_from(read.0.as_millis()).unwrap_or(u64::MAX);
        let at = self.context.clock.now().0.checked_sub(age).map(Timestamp);
        self.newest_store_read = self.newest_store_read.max(at);
    }
}

/// Requests the age of the newest store read known; none before the first.
#[derive(Message)]
#[rtype(result = "Option<Duration>")]
pub struct StoreReadAge;

impl Handler<StoreReadAge> for ConfigurationActor {
    type Result = MessageResult<StoreReadAge>;

    fn handle(&mut self, _: StoreReadAge, _: &mut Context<Self>) -> Self::Result {
        let now = self.context.clock.now();
        MessageResult(self.newest_store_read.map(|at| now.since(at)))
    }
}
