//! The history of a request from the log lines of two nodes.

use cometmoor_gateway::explain::explain;

const LINES: &str = r#"
 1.0 node-1 {"level":"info","timestamp":1000,"logger":"node-1","payload":"[configuration] version 4 is in force","kv":{"version":4},"tid":1}
{"level":"info","timestamp":1200,"logger":"node-2","payload":"[servers] server ready","kv":{"server":"i-2"},"tid":1}
{"level":"info","timestamp":1300,"logger":"node-1","payload":"[servers] server ready","kv":{"server":"i-1"},"tid":1}
{"level":"info","timestamp":1350,"logger":"node-1","payload":"[signals] a server has set a limit","kv":{"server":"i-1","per_second":2.0,"source":"peer","from":"node-2"},"tid":1}
{"level":"warn","timestamp":1500,"logger":"node-1","payload":"[forward] failed","kv":{"request":"abc","server":"i-1","reason":"reset"},"tid":2}
{"level":"info","timestamp":1400,"logger":"node-1","payload":"[forward] sent","kv":{"request":"abc","server":"i-1"},"tid":2}
{"level":"info","timestamp":1600,"logger":"node-1","payload":"[forward] sent","kv":{"request":"other","server":"i-1"},"tid":2}
not a line of a node
"#;

#[test]
fn lines_of_a_request_are_in_order_of_time_with_the_state_that_its_node_knew() {
    let history = explain("abc", LINES);
    let expected = [
        "1400 node-1 [forward] sent request=abc server=i-1",
        "    known for 400 ms: 1000 node-1 [configuration] version 4 is in force version=4",
        "    known for 100 ms: 1300 node-1 [servers] server ready server=i-1",
        "    known for 50 ms: 1350 node-1 [signals] a server has set a limit from=node-2 per_second=2.0 server=i-1 source=peer",
        "1500 node-1 [forward] failed reason=reset request=abc server=i-1",
        "    known for 500 ms: 1000 node-1 [configuration] version 4 is in force version=4",
        "    known for 200 ms: 1300 node-1 [servers] server ready server=i-1",
        "    known for 150 ms: 1350 node-1 [signals] a server has set a limit from=node-2 per_second=2.0 server=i-1 source=peer",
    ];
    assert_eq!(history, expected);
    assert!(explain("unknown", LINES).is_empty());
}

const PART_LINES: &str = r#"
{"level":"warn","timestamp":1000,"logger":"node-1","payload":"[quarantine] a part of prompts is quarantined","kv":{"part":"dead","crashes":3,"keys":"00000001,00000002,00000003","source":"own"},"tid":1}
{"level":"warn","timestamp":1100,"logger":"node-1","payload":"[quarantine] a part of prompts is quarantined","kv":{"part":"beef","source":"peer"},"tid":1}
{"level":"warn","timestamp":1500,"logger":"node-1","payload":"[forward] refused","kv":{"request":"abc","part":"dead"},"tid":2}
"#;

#[test]
fn a_refused_request_is_followed_by_the_quarantine_of_its_part() {
    let expected = [
        "1500 node-1 [forward] refused part=dead request=abc",
        "    known for 500 ms: 1000 node-1 [quarantine] a part of prompts is quarantined crashes=3 keys=00000001,00000002,00000003 part=dead source=own",
    ];
    assert_eq!(explain("abc", PART_LINES), expected);
}
