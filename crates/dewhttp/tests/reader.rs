//! When a response is complete.

use dewhttp::ConnectionState::{Broken, Closed, Ended, Open};
use dewhttp::ResponseProgress::{BrokenOff, Complete, Incomplete};
use dewhttp::{ConnectionState, ResponseProgress, ResponseReader};

struct ProgressCase {
    name: &'static str,
    method: &'static str,
    bytes: &'static str,
    /// Progress while the connection is open, closed before the request was written,
    /// ended in order, and broken.
    expected: [ResponseProgress; 4],
}

const CONNECTIONS: [ConnectionState; 4] = [Open, Closed, Ended, Broken];
const WHOLE: [ResponseProgress; 4] = [Complete; 4];
const PART: [ResponseProgress; 4] = [Incomplete, BrokenOff, BrokenOff, BrokenOff];

const PROGRESS_CASES: [ProgressCase; 12] = [
    ProgressCase {
        name: "nothing",
        method: "GET",
        bytes: "",
        expected: PART,
    },
    ProgressCase {
        name: "part of a head",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Le",
        expected: PART,
    },
    ProgressCase {
        name: "an interim response",
        method: "GET",
        bytes: "HTTP/1.1 103 X\r\n\r\n",
        expected: PART,
    },
    ProgressCase {
        name: "a length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        expected: WHOLE,
    },
    ProgressCase {
        name: "a part of a length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
        expected: PART,
    },
    ProgressCase {
        name: "chunks",
        method: "POST",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        expected: WHOLE,
    },
    ProgressCase {
        name: "chunks without the last one",
        method: "POST",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        expected: PART,
    },
    ProgressCase {
        name: "chunks without the end of the trailers",
        method: "POST",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n",
        expected: PART,
    },
    ProgressCase {
        name: "no framing",
        method: "POST",
        bytes: "HTTP/1.1 200 OK\r\n\r\nok",
        expected: [Incomplete, Incomplete, Complete, BrokenOff],
    },
    ProgressCase {
        name: "no framing and no content",
        method: "POST",
        bytes: "HTTP/1.1 500 X\r\n\r\n",
        expected: [Incomplete, Incomplete, Complete, BrokenOff],
    },
    ProgressCase {
        name: "no framing of a response to HEAD",
        method: "HEAD",
        bytes: "HTTP/1.1 200 OK\r\n\r\n",
        expected: WHOLE,
    },
    ProgressCase {
        name: "no framing after an interim response",
        method: "GET",
        bytes: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 204 X\r\n\r\n",
        expected: WHOLE,
    },
];

/// Guards against part of a response that passes for the whole one.
#[test]
fn a_response_is_complete_only_if_its_framing_says_so() {
    for case in PROGRESS_CASES {
        let mut reader = ResponseReader::new(case.method, 1024);
        let bytes = case.bytes.as_bytes();
        let used = reader.read_head(bytes).expect(case.name);
        let content = reader.read_content(&bytes[used..], &mut Vec::new());
        content.expect(case.name);
        let found = CONNECTIONS.map(|connection| reader.progress(connection));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
