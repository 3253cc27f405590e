//! Minimal HTTP server for the readiness, directory, peer and metrics endpoints.
//!
//! It accepts requests without a body.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_core::gateway::overload::Activity;
use tokio::net::{TcpListener, TcpStream};

use crate::clients::connections::{ConnectionSlot, ConnectionSlots};
use crate::clock;
use crate::http::connection::{read_some, set_socket_options, write_all};
use crate::http::head::{RequestHead, parse_request_head};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Time without input after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response with a short body.
#[derive(Clone, Debug, Default)]
pub struct SimpleResponse {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Complete body.
    pub body: Vec<u8>,
}

impl SimpleResponse {
    /// Creates a response without a body.
    pub fn status(status: u16) -> SimpleResponse {
        SimpleResponse { status, content_type: "text/plain", body: Vec::new() }
    }

    fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let connection = if keep_alive { "" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}\r\n",
            self.status,
            reason_phrase(self.status),
            self.content_type,
            self.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Serves requests on the connections that the slots admit, until the process ends.
pub async fn serve(
    listener: TcpListener,
    slots: Rc<ConnectionSlots>,
    handler: Rc<dyn Fn(&RequestHead) -> SimpleResponse>,
) {
    serve_async(listener, slots, move |head: RequestHead| std::future::ready(handler(&head))).await;
}

/// Like [`serve`], with a handler that returns a future.
pub async fn serve_async<Handler, ResponseFuture>(
    listener: TcpListener,
    slots: Rc<ConnectionSlots>,
    handler: Handler,
) where
    Handler: Fn(RequestHead) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = SimpleResponse> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = slots.admit().await else { continue };
        let handler = handler.clone();
        actix_rt::spawn(async move { slot.run(serve_connection(stream, &slot, handler)).await });
    }
}

async fn serve_connection<Handler, ResponseFuture>(
    stream: TcpStream,
    slot: &ConnectionSlot,
    handler: Handler,
) where
    Handler: Fn(RequestHead) -> ResponseFuture + 'static,
    ResponseFuture: Future<Output = SimpleResponse> + 'static,
{
    if set_socket_options(&stream).is_err() {
        return;
    }
    let mut buffer = BytesMut::new();
    loop {
        let head = match parse_request_head(&mut buffer, MAX_HEAD_BYTES) {
            Ok(Some(head)) => head,
            Ok(None) => {
                let read = clock::timeout(IDLE_TIMEOUT, read_some(&stream, &mut buffer));
                match read.await {
                    Ok(Ok(read)) if read > 0 => continue,
                    _ => return,
                }
            }
            Err(_) => {
                let bytes = SimpleResponse::status(400).encode(false);
                let _ = write_all(&stream, &bytes).await;
                return;
            }
        };
        slot.set_activity(Activity::Serving);
        let keep_alive = head.keeps_connection();
        let bytes = handler(head).await.encode(keep_alive);
        // A client that does not read its response yields like one that sends no request.
        slot.set_activity(Activity::Closing { since: clock::now() });
        if write_all(&stream, &bytes).await.is_err() || !keep_alive {
            return;
        }
        slot.set_activity(Activity::Idle { since: clock::now() });
    }
}
