//! Relays response bodies from a server to the client.

use std::io;
use std::time::Duration;

use cometmoor_core::gateway::attempts::Attempts;
use socket2::SockRef;

use super::encode::{self, BodyFraming};
use super::exchange::{ServerResponse, invalid_data};
use super::{ConnectionAction, ForwardedRequest};
use crate::http::connection::write_all;
use crate::http::head::Framing;

/// Largest body that is read completely before it is relayed, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// A body, or the beginning of one that is too large to be buffered.
pub struct BufferedBody {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    /// Whether this is the complete body.
    pub is_complete: bool,
}

/// Reads a body until it is complete or too large to be buffered.
pub async fn buffer_body(response: &mut ServerResponse) -> io::Result<BufferedBody> {
    let mut bytes = Vec::new();
    loop {
        while let Some(piece) =
            response.decoder.next(&mut response.buffer).map_err(|_| invalid_data())?
        {
            bytes.extend_from_slice(&piece);
        }
        if response.decoder.is_done() {
            return Ok(BufferedBody { bytes, is_complete: true });
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(BufferedBody { bytes, is_complete: false });
        }
        if !response.read_more().await? {
            let is_complete = response.ends_with_connection(bytes.len()).await;
            return if is_complete {
                Ok(BufferedBody { bytes, is_complete })
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Relays a large body as it arrives, after the prefix that was buffered.
pub async fn relay_large_body(
    request: &ForwardedRequest<'_>,
    mut response: ServerResponse,
    prefix: Vec<u8>,
) -> ConnectionAction {
    request.update_attempts(Attempts::record_response_started);
    let (framing, keep) = client_framing(request, &response);
    request.begin_body(framing);
    let mut bytes = encode::response_head(&response.head, Some(framing), keep);
    push_body(framing, &prefix, &mut bytes);
    loop {
        if write_all(request.client, &bytes).await.is_err() {
            return ConnectionAction::Abort;
        }
        bytes.clear();
        while let Ok(Some(piece)) = response.decoder.next(&mut response.buffer) {
            push_body(framing, &piece, &mut bytes);
        }
        if response.decoder.is_done() {
            push_body_end(framing, &mut bytes);
            return request.end_body(framing, &bytes, keep).await;
        }
        if !bytes.is_empty() {
            continue;
        }
        match response.read_more().await {
            Ok(true) => {}
            Ok(false) if response.ends_with_connection(MAX_BUFFERED_BYTES).await => {
                push_body_end(framing, &mut bytes);
                return request.end_body(framing, &bytes, keep).await;
            }
            Ok(false) | Err(_) => return ConnectionAction::Abort,
        }
    }
}

/// How the end of the body is indicated to the client, and whether its connection is kept open.
pub(super) fn client_framing(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
) -> (BodyFraming, bool) {
    let keep = request.keeps_connection();
    match response.head.framing {
        Framing::Length(length) => (BodyFraming::Length(length), keep),
        Framing::Empty => (BodyFraming::Length(0), keep),
        Framing::Chunked | Framing::UntilClose if request.head.is_http_1_1 => {
            (BodyFraming::Chunked, keep)
        }
        Framing::Chunked | Framing::UntilClose => (BodyFraming::UntilClose, false),
    }
}

pub(super) fn push_body(framing: BodyFraming, piece: &[u8], bytes: &mut Vec<u8>) {
    if piece.is_empty() {
        return;
    }
    match framing {
        BodyFraming::Chunked => encode::push_chunk(piece, bytes),
        BodyFraming::Length(_) | BodyFraming::UntilClose => bytes.extend_from_slice(piece),
    }
}

pub(super) fn push_body_end(framing: BodyFraming, bytes: &mut Vec<u8>) {
    if framing == BodyFraming::Chunked {
        encode::push_chunk(&[], bytes);
    }
}

impl ForwardedRequest<'_> {
    /// Prepares the client's connection for a body. Where the end of the connection is the end of
    /// the body, a cut has to be a reset, also if this process ends meanwhile.
    pub(super) fn begin_body(&self, framing: BodyFraming) {
        if framing == BodyFraming::UntilClose {
            self.set_reset_on_close(true);
        }
    }

    /// Writes the last bytes of a complete body.
    pub(super) async fn end_body(
        &self,
        framing: BodyFraming,
        bytes: &[u8],
        keep: bool,
    ) -> ConnectionAction {
        let action = self.write_response(bytes, keep).await;
        if framing == BodyFraming::UntilClose && action == ConnectionAction::Close {
            self.set_reset_on_close(false);
        }
        action
    }

    fn set_reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(self.client).set_linger(linger) {
            self.log_failure(
                "cannot set how the connection closes",
                "stream",
                "-",
                &error.to_string(),
            );
        }
    }
}
