//! State of the operators' thread.

use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use tokio::sync::{Notify, watch};

use crate::context::NodeContext;
use crate::control::configuration::ConfigurationActor;
use crate::store::etcd::EtcdStore;
use crate::store::layout::Layout;

/// What the operators' thread works with.
pub struct OperatorState {
    /// State of the node.
    pub node: Arc<NodeContext>,
    /// Owner of the configuration.
    pub configuration: Addr<ConfigurationActor>,
    /// Generation in force.
    pub generations: watch::Receiver<u64>,
    /// Notified to start the planned stop.
    pub drain: Arc<Notify>,
    /// Client of this thread.
    pub store: Rc<EtcdStore>,
    /// Keys in the store.
    pub layout: Layout,
}
