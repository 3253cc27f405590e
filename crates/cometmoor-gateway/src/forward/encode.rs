//! Heads on their way to servers and clients.

use crate::dialect::{Dialect, SendFacts};
use crate::http::head::{AnswerHead, Framing, RequestHead};

const CONTENT_LENGTH: &str = "content-length";
const EXPECT: &str = "expect";

/// How the gateway ends a body that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// By its length.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, for clients that know no chunks.
    UntilClose,
}

fn push_line(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

/// The request as it goes to a server.
pub fn request(
    dialect: &dyn Dialect,
    head: &RequestHead,
    body: &[u8],
    facts: &SendFacts<'_>,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024 + body.len());
    bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    let resumes = facts.resume_after.is_some();
    for (name, value) in head.headers.end_to_end() {
        let replaced = dialect.sets_header(name, resumes)
            || name.eq_ignore_ascii_case(CONTENT_LENGTH)
            || name.eq_ignore_ascii_case(EXPECT);
        if !replaced {
            push_line(&mut bytes, name, value);
        }
    }
    for (name, value) in dialect.send_headers(facts) {
        push_line(&mut bytes, name, value.as_bytes());
    }
    if head.framing != Framing::Empty || head.headers.contains(CONTENT_LENGTH) {
        push_line(&mut bytes, "Content-Length", body.len().to_string().as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// The head of a server's answer as it goes to the client.
pub fn answer_head(head: &AnswerHead, passed: Option<Passed>, keep: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    for (name, value) in head.headers.end_to_end() {
        if passed.is_none() || !name.eq_ignore_ascii_case(CONTENT_LENGTH) {
            push_line(&mut bytes, name, value);
        }
    }
    match passed {
        Some(Passed::Length(length)) => {
            push_line(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        Some(Passed::Chunked) => push_line(&mut bytes, "Transfer-Encoding", b"chunked"),
        Some(Passed::UntilClose) | None => {}
    }
    if !keep || passed == Some(Passed::UntilClose) {
        push_line(&mut bytes, "Connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// A whole answer.
pub fn whole_answer(head: &AnswerHead, body: &[u8], to_head_method: bool, keep: bool) -> Vec<u8> {
    let bodiless = to_head_method || head.status == 204 || head.status == 304;
    let passed = (!bodiless).then_some(Passed::Length(body.len() as u64));
    let mut bytes = answer_head(head, passed, keep);
    bytes.extend_from_slice(body);
    bytes
}

/// A chunk with the piece, or the last chunk where it is empty.
pub fn chunk(piece: &[u8], bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}
