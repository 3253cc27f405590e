//! Calls that are sent only if a precondition holds.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cometmoor_gateway::http::client::{Call, CallClient, CallError};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an order of a leader that has lost its lease: on a slow machine the lease ended
/// after the order was planned and before the connection to the server was open, and the order was
/// still sent.
#[test]
fn call_is_not_sent_if_its_precondition_no_longer_holds() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let result = actix_rt::System::new().block_on(async {
        CallClient::new(address).call_if(&Call::new("POST", "/order"), TIMEOUT, || false).await
    });
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    assert_eq!(server.join().unwrap(), Vec::<u8>::new());
}
