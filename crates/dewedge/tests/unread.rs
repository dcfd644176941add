//! Tests of the connections that are read on without an event.

use dewedge::policy::unread::UnreadQueue;

/// Connections that always have more bytes.
const CONNECTIONS: u32 = 12;

/// Guards against an iteration of the event loop that grows with each event for a
/// connection that is read on anyway, so that timers are late.
#[test]
fn events_for_unread_connections_add_no_reads() {
    let mut queue = UnreadQueue::default();
    for iteration in 0..100 {
        (0..CONNECTIONS).for_each(|conn| queue.push(conn, false));
        queue.start_round();
        let mut reads = 0;
        while let Some((conn, _)) = queue.pop() {
            reads += 1;
            queue.push(conn, false);
        }
        assert_eq!(reads, CONNECTIONS, "iteration {iteration}");
    }
}

/// Guards against a connection that is read as closing because an earlier one with
/// its id was, and against one whose end is missed.
#[test]
fn a_connection_is_closing_if_and_only_if_its_own_events_said_so() {
    let mut queue = UnreadQueue::default();
    [(1, true), (2, false), (2, true), (3, true), (3, false)]
        .into_iter()
        .for_each(|(conn, closing)| queue.push(conn, closing));
    queue.start_round();
    assert_eq!(queue.pop(), Some((1, true)));
    // Both connections are closed, and their ids are used again.
    queue.push(3, true);
    queue.remove(3);
    queue.push(3, false);
    assert_eq!(queue.pop(), Some((2, true)));
    assert_eq!(queue.pop(), None);
    queue.start_round();
    assert_eq!(queue.pop(), Some((3, false)));
}
