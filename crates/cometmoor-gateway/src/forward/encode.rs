//! Encoding of requests to servers and of responses to clients.

use crate::dialect::{Dialect, SendMetadata};
use crate::http::head::{Framing, RequestHead, ResponseHead};

const CONTENT_LENGTH: &str = "content-length";
const EXPECT: &str = "expect";

/// How the end of a relayed body is indicated to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk of the chunked coding.
    Chunked,
    /// By closing the connection, for clients that do not support chunked coding.
    UntilClose,
}

fn push_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

/// Encodes the head of a request for a server. `body_length` is in bytes.
pub fn request_head(
    dialect: &dyn Dialect,
    head: &RequestHead,
    body_length: usize,
    metadata: &SendMetadata<'_>,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024);
    bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    let is_resumed = metadata.resume_after.is_some();
    for (name, value) in head.headers.end_to_end() {
        let is_replaced = dialect.overrides_header(name, is_resumed)
            || name.eq_ignore_ascii_case(CONTENT_LENGTH)
            || name.eq_ignore_ascii_case(EXPECT);
        if !is_replaced {
            push_header(&mut bytes, name, value);
        }
    }
    for (name, value) in dialect.send_headers(metadata) {
        push_header(&mut bytes, name, value.as_bytes());
    }
    if head.framing != Framing::Empty || head.headers.contains(CONTENT_LENGTH) {
        push_header(&mut bytes, "Content-Length", body_length.to_string().as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes the head of a server's response for the client. Without a framing, the server's
/// `Content-Length` is kept.
pub fn response_head(head: &ResponseHead, framing: Option<BodyFraming>, keep: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    for (name, value) in head.headers.end_to_end() {
        if framing.is_none() || !name.eq_ignore_ascii_case(CONTENT_LENGTH) {
            push_header(&mut bytes, name, value);
        }
    }
    match framing {
        Some(BodyFraming::Length(length)) => {
            push_header(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        Some(BodyFraming::Chunked) => push_header(&mut bytes, "Transfer-Encoding", b"chunked"),
        Some(BodyFraming::UntilClose) | None => {}
    }
    if !keep || framing == Some(BodyFraming::UntilClose) {
        push_header(&mut bytes, "Connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes a complete response.
pub fn full_response(
    head: &ResponseHead,
    body: &[u8],
    to_head_request: bool,
    keep: bool,
) -> Vec<u8> {
    let has_no_body = to_head_request || head.status == 204 || head.status == 304;
    let framing = (!has_no_body).then_some(BodyFraming::Length(body.len() as u64));
    let mut bytes = response_head(head, framing, keep);
    bytes.extend_from_slice(body);
    bytes
}

/// Appends a chunk with the piece, or the last chunk if the piece is empty.
pub fn push_chunk(piece: &[u8], bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}
