//! Stand-ins for the outside systems.

pub mod engine;
pub mod engine_state;
pub mod machines;
pub mod service;
pub mod store;
pub mod store_state;

use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::{Server, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer, web};

/// Largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A stand-in's server on a thread of its own.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Running {
    /// Serves what `configure` sets up, with `state` as the handlers' data, at a
    /// free port of loopback.
    pub fn serve<State: Send + Sync + 'static>(
        state: Arc<State>,
        configure: fn(&mut ServiceConfig),
    ) -> std::io::Result<Running> {
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                match bind(state, configure) {
                    Ok((address, server)) => {
                        let _ = sender.send(Ok((address, server.handle())));
                        let _ = server.await;
                    }
                    Err(error) => {
                        let _ = sender.send(Err(error));
                    }
                }
            });
        });
        let started = receiver.recv().map_err(std::io::Error::other)?;
        let (address, handle) = started?;
        Ok(Running { address, handle, thread: Some(thread) })
    }
}

fn bind<State: Send + Sync + 'static>(
    state: Arc<State>,
    configure: fn(&mut ServiceConfig),
) -> std::io::Result<(SocketAddr, Server)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .configure(configure)
    })
    .workers(1)
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(0)
    .bind(("127.0.0.1", 0))?;
    Ok((server.addrs()[0], server.run()))
}

impl Drop for Running {
    fn drop(&mut self) {
        // The command is sent at once; the thread carries it out.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
