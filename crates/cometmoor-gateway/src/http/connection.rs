//! Sockets: options, reading into a buffer, writing everything.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::clock;

/// Time after which sent bytes that nobody acknowledged end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Rest of a connection before it is probed, and the pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Sets the options that every connection gets: no delay of small writes, and
/// an end of those whose other side is silent.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Opens a connection within the time.
pub async fn connect(address: SocketAddrV4, within: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let stream = clock::timeout(within, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Reads what is there into the buffer, and waits until there is something.
/// Zero tells the clean end of the other side.
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

/// Writes all bytes.
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

/// Waits until the other side has ended the connection, keeping up to
/// `most_bytes` that it sends before.
pub async fn wait_for_close(stream: &TcpStream, buffer: &mut BytesMut, most_bytes: usize) {
    loop {
        if buffer.len() > most_bytes {
            return std::future::pending().await;
        }
        match read_some(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Whether a resting connection is still open and nothing was sent on it.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    match stream.try_read(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
