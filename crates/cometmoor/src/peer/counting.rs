//! Counts the bytes of a connection to another node.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

use crate::telemetry::metrics::Metrics;

/// Half of a connection whose bytes are counted.
pub struct Counting<Half> {
    half: Half,
    metrics: Arc<Metrics>,
}

impl<Half> Counting<Half> {
    /// Counts the bytes of `half`.
    pub fn new(half: Half, metrics: Arc<Metrics>) -> Counting<Half> {
        Counting { half, metrics }
    }
}

impl<Half: AsyncRead + Unpin> AsyncRead for Counting<Half> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.half).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.metrics.record_peer_bytes("received", *bytes);
        }
        result
    }
}

impl<Half: AsyncWrite + Unpin> AsyncWrite for Counting<Half> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.half).poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.metrics.record_peer_bytes("sent", *bytes);
        }
        result
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.half).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.half).poll_close(context)
    }
}
