//! What each traffic thread has for itself.

use std::rc::Rc;
use std::sync::Arc;

use crate::context::NodeContext;
use crate::engine::http::EngineClient;
use crate::settings::millis;

/// State of one traffic thread.
#[derive(Clone)]
pub struct Worker {
    /// State of the node.
    pub node: Arc<NodeContext>,
    /// Client for the engines.
    pub engines: EngineClient,
    /// Client for plain services and other nodes; it neither retries nor
    /// follows redirects.
    pub http: Rc<awc::Client>,
}

impl Worker {
    /// The state of a thread that starts now; to be called on that thread.
    pub fn new(node: Arc<NodeContext>) -> Worker {
        let connect_timeout = millis(node.settings.timing.connect_timeout_millis);
        let http = awc::Client::builder()
            .connector(awc::Connector::new().timeout(connect_timeout).limit(0))
            .disable_timeout()
            .disable_redirects()
            .finish();
        Worker { engines: EngineClient::new(connect_timeout), http: Rc::new(http), node }
    }
}
