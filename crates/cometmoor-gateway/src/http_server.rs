//! Small servers with answers that need no waiting: readiness, directory,
//! peers, metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::http::connection::{read_some, set_socket_options, write_all};
use crate::http::head::{RequestHead, parse_request_head};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Longest rest of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after the listener failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct SimpleResponse {
    /// Status code.
    pub status: u16,
    /// Type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl SimpleResponse {
    /// An answer without a body.
    pub fn status(status: u16) -> SimpleResponse {
        SimpleResponse { status, content_type: "text/plain", body: Vec::new() }
    }

    fn encode(&self, keeps: bool) -> Vec<u8> {
        let connection = if keeps { "" } else { "Connection: close\r\n" };
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

/// Words for a status code.
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

/// Answers requests without a body until the process ends.
pub async fn serve(listener: TcpListener, answer: Rc<dyn Fn(&RequestHead) -> SimpleResponse>) {
    serve_async(listener, move |head: RequestHead| std::future::ready(answer(&head))).await;
}

/// The same with answers that have to be waited for.
pub async fn serve_async<Answer, Answering>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(RequestHead) -> Answering + Clone + 'static,
    Answering: Future<Output = SimpleResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(stream, answer.clone()));
            }
            Err(_) => clock::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<Answer, Answering>(stream: TcpStream, answer: Answer)
where
    Answer: Fn(RequestHead) -> Answering + 'static,
    Answering: Future<Output = SimpleResponse> + 'static,
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
        let keeps = head.keeps_connection();
        let bytes = answer(head).await.encode(keeps);
        if write_all(&stream, &bytes).await.is_err() || !keeps {
            return;
        }
    }
}
