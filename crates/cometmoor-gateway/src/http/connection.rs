//! TCP connections: socket options, buffered reads and complete writes.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::send_timeout::set_send_timeout;
use crate::clock;

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Buffer space that is reserved for a read, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Sets the options that all connections have: no delay of small writes (`TCP_NODELAY`), and a
/// timeout and keepalive probes that close a connection whose peer does not respond.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    set_send_timeout(stream)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Opens a connection and sets its options. Fails with `TimedOut` if it is not established in
/// time.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let connection = TcpStream::connect(SocketAddr::V4(address));
    let stream = clock::timeout(timeout, connection)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Waits until there is input, and reads what is available into the buffer. Returns the number of
/// bytes that were read; 0 if the peer closed its side of the connection cleanly.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes all bytes, and waits for buffer space where necessary.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until the peer closes or resets the connection, and keeps the bytes that it sends before
/// that. Once the buffer holds more than `max_bytes` it reads no more and never returns.
pub async fn wait_for_close(stream: &TcpStream, buffer: &mut BytesMut, max_bytes: usize) {
    loop {
        if buffer.len() > max_bytes {
            return std::future::pending().await;
        }
        match read_some(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Whether an idle connection is still open and has no unread input.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    match stream.try_read(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
