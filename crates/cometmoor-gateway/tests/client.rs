//! Calls that may only be made while something holds.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cometmoor_gateway::http::client::{Call, CallClient, CallError};

const WAIT: Duration = Duration::from_secs(5);

/// Grown sakhon-wash, trouble-2: a leader on a slow machine had lost its lease
/// between its plan and the connection to a server, and sent the order.
#[test]
fn a_call_is_not_made_when_what_allows_it_has_ended_meanwhile() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let result = actix_rt::System::new().block_on(async {
        CallClient::new(address).call_if(&Call::new("POST", "/order"), WAIT, || false).await
    });
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    assert_eq!(server.join().unwrap(), Vec::<u8>::new());
}
