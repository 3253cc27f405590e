//! The timeout for unacknowledged bytes of a connection (`TCP_USER_TIMEOUT`), which is lifted while the
//! peer is alive and has no room.
//!
//! The kernel counts the timeout also for a peer that acknowledges every probe of its closed window. It
//! would end the connection of a client that pauses while it reads its response, or of a server that
//! begins late to read a body.

use std::io;
use std::mem::{MaybeUninit, offset_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

use cometmoor_core::gateway::peer_liveness::{PeerState, SILENCE_TIMEOUT, TransportState};
use nix::libc;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::clock;

/// Interval at which the state of a connection is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of a connection; `None` if the kernel does not tell it.
fn transport_state(stream: &TcpStream) -> Option<TransportState> {
    let info = tcp_info(stream)?;
    Some(TransportState {
        unsent_bytes: info.tcpi_notsent_bytes,
        in_flight: info.tcpi_unacked,
        unanswered_probes: u32::from(info.tcpi_probes),
        since_acknowledgement: Duration::from_millis(u64::from(info.tcpi_last_ack_recv)),
    })
}

/// The kernel's `TCP_INFO`, which no safe interface offers. `None` if it is not supported, or older
/// than the fields that are used (Linux 4.6).
#[expect(unsafe_code, reason = "no safe interface offers TCP_INFO")]
fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, the kernel writes at most `length` bytes into `info`, and all
    // fields are integers, for which zero is valid.
    let info = unsafe {
        let result = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        );
        (result == 0).then(|| info.assume_init())?
    };
    let used = offset_of!(libc::tcp_info, tcpi_notsent_bytes) + size_of::<u32>();
    (length as usize >= used).then_some(info)
}

/// Sets the timeout for unacknowledged bytes.
pub fn set_send_timeout(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

/// Lifts the timeout if not everything that was written has been sent, so that the peer gets the
/// rest although it has no room now. Returns whether that is so.
pub fn keep_unsent(stream: &TcpStream) -> bool {
    let has_unsent = transport_state(stream).is_some_and(|state| state.unsent_bytes > 0);
    has_unsent && SockRef::from(stream).set_tcp_user_timeout(None).is_ok()
}

/// Lifts the timeout while the peer has no room, and sets it again once it has. Returns only if
/// the peer is silent, or the timeout cannot be changed.
pub async fn watch_peer(stream: &TcpStream) -> io::Error {
    let mut is_lifted = false;
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let Some(state) = transport_state(stream) else { return std::future::pending().await };
        let result = match state.peer() {
            PeerState::Silent => return io::ErrorKind::TimedOut.into(),
            PeerState::WithoutRoom if !is_lifted => {
                SockRef::from(stream).set_tcp_user_timeout(None)
            }
            PeerState::Receiving if is_lifted => set_send_timeout(stream),
            PeerState::WithoutRoom | PeerState::Receiving => continue,
        };
        if let Err(error) = result {
            return error;
        }
        is_lifted = !is_lifted;
    }
}
