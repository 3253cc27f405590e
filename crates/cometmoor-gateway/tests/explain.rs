//! From a request's identifier to its story, over the log lines of two nodes.

use cometmoor_gateway::explain::explain;

const LINES: &str = r#"
 1.0 node-1 {"level":"info","timestamp":1000,"logger":"node-1","payload":"[configuration] version 4 is in force","kv":{"version":4},"tid":1}
{"level":"info","timestamp":1200,"logger":"node-2","payload":"[servers] a server is known","kv":{"server":"i-2"},"tid":1}
{"level":"info","timestamp":1300,"logger":"node-1","payload":"[servers] a server is known","kv":{"server":"i-1"},"tid":1}
{"level":"info","timestamp":1350,"logger":"node-1","payload":"[signals] a server has set a limit","kv":{"server":"i-1","per_second":2.0,"source":"peer","from":"node-2"},"tid":1}
{"level":"warn","timestamp":1500,"logger":"node-1","payload":"[forward] failed","kv":{"request":"abc","server":"i-1","reason":"reset"},"tid":2}
{"level":"info","timestamp":1400,"logger":"node-1","payload":"[forward] sent","kv":{"request":"abc","server":"i-1"},"tid":2}
{"level":"info","timestamp":1600,"logger":"node-1","payload":"[forward] sent","kv":{"request":"other","server":"i-1"},"tid":2}
not a line of a node
"#;

#[test]
fn the_lines_of_a_request_come_in_order_with_what_its_node_believed() {
    let story = explain("abc", LINES);
    let expected = [
        "1400 node-1 [forward] sent request=abc server=i-1",
        "    believed for 400 ms: 1000 node-1 [configuration] version 4 is in force version=4",
        "    believed for 100 ms: 1300 node-1 [servers] a server is known server=i-1",
        "    believed for 50 ms: 1350 node-1 [signals] a server has set a limit from=node-2 per_second=2.0 server=i-1 source=peer",
        "1500 node-1 [forward] failed reason=reset request=abc server=i-1",
        "    believed for 500 ms: 1000 node-1 [configuration] version 4 is in force version=4",
        "    believed for 200 ms: 1300 node-1 [servers] a server is known server=i-1",
        "    believed for 150 ms: 1350 node-1 [signals] a server has set a limit from=node-2 per_second=2.0 server=i-1 source=peer",
    ];
    assert_eq!(story, expected);
    assert!(explain("unknown", LINES).is_empty());
}
