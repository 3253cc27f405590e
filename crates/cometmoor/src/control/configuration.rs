//! Holds the configuration in force and the proof that it is current.

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

/// Owner of the configuration in force.
pub struct ConfigurationActor {
    context: Arc<NodeContext>,
    configuration: Configuration,
    newest_store_read: Option<Timestamp>,
    generation_sender: watch::Sender<u64>,
}

impl ConfigurationActor {
    /// An actor without a configuration. Each generation that comes into
    /// force is also sent to `generation_sender`.
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

/// Offers newer state, from wherever it comes.
#[derive(Message)]
#[rtype(result = "Applied")]
pub struct Offer(pub Update);

impl Handler<Offer> for ConfigurationActor {
    type Result = MessageResult<Offer>;

    fn handle(&mut self, offer: Offer, _: &mut Context<Self>) -> Self::Result {
        let applied = self.configuration.apply(offer.0);
        if applied == Applied::Advanced {
            self.publish();
        }
        MessageResult(applied)
    }
}

/// Asks what a peer at a generation lacks.
#[derive(Message)]
#[rtype(result = "Option<Update>")]
pub struct UpdateAfter(pub u64);

impl Handler<UpdateAfter> for ConfigurationActor {
    type Result = MessageResult<UpdateAfter>;

    fn handle(&mut self, after: UpdateAfter, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.configuration.update_since(after.0))
    }
}

/// Notes that the store was read, by this node or one it hears, and how long
/// ago.
#[derive(Message)]
#[rtype(result = "()")]
pub struct NoteStoreRead(pub Duration);

impl Handler<NoteStoreRead> for ConfigurationActor {
    type Result = ();

    fn handle(&mut self, read: NoteStoreRead, _: &mut Context<Self>) {
        let age = u64::try_from(read.0.as_millis()).unwrap_or(u64::MAX);
        let at = self.context.clock.now().0.checked_sub(age).map(Timestamp);
        self.newest_store_read = self.newest_store_read.max(at);
    }
}

/// Asks for the age of the newest store read that is known.
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
