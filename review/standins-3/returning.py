"""Clients that send a body but for its end, stay open, and come again when they are closed.

Arguments: port, clients, seconds, pause in s before a client comes again, name.
"""

import collections
import selectors
import socket
import sys
import time


def main():
    port, clients, seconds, pause, name = (
        int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]), sys.argv[5])
    ends = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    waiting = collections.deque([0.0] * clients)
    opened = refused = closed = 0
    body = b"190\r\n" + b"x" * 400 + b"\r\n"
    while time.monotonic() < ends:
        now = time.monotonic()
        while waiting and waiting[0] <= now:
            waiting.popleft()
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", port))
            selector.register(sock, selectors.EVENT_WRITE)
            opened += 1
        for selected, events in selector.select(0.01):
            sock = selected.fileobj
            try:
                if events & selectors.EVENT_WRITE:
                    sock.send((
                        f"POST /brief/a HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: {name}-{opened}\r\n"
                        "X-Deadline-Ms: 15000\r\nAuthorization: Bearer k1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n").encode() + body * 5)
                    selector.modify(sock, selectors.EVENT_READ)
                    continue
                got = sock.recv(4096)
            except OSError:
                got = b""
            refused, closed = refused + bool(got), closed + (not got)
            selector.unregister(sock)
            sock.close()
            waiting.append(time.monotonic() + pause)
    print(f"{name}: {opened} connections, {refused} refused with an answer, {closed} closed", flush=True)


main()
