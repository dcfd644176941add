"""Callers that send their next request as soon as they have an answer.

Arguments: port, connections, seconds, name, path, key. All connections are opened before
the first request, a second and a half after the start. Each is kept; whatever the answer
says, the next request follows at once. Prints the answers by status.
"""

import selectors
import socket
import sys
import time

START_S = 1.5


def main():
    starts = time.monotonic() + START_S
    port, connections, ends = int(sys.argv[1]), int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    name, path, key = sys.argv[4:7]
    selector = selectors.DefaultSelector()
    counts, sent = {}, 0

    def send(sock):
        nonlocal sent
        sent += 1
        sock.send((f"GET {path} HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: {name}-{sent}\r\n"
                   f"X-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\r\n").encode())

    def connect():
        sock = socket.create_connection(("127.0.0.1", port), 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
        return sock

    socks = [connect() for _ in range(connections)]
    time.sleep(max(0.0, starts - time.monotonic()))
    for sock in socks:
        send(sock)
    while time.monotonic() < ends:
        for selected, _ in selector.select(0.1):
            sock = selected.fileobj
            try:
                answer = sock.recv(65536)
                if not answer:
                    raise OSError
                status = answer[9:12].decode()
                counts[status] = counts.get(status, 0) + 1
                send(sock)
            except OSError:
                counts["closed"] = counts.get("closed", 0) + 1
                selector.unregister(sock)
                sock.close()
                try:
                    send(connect())
                except OSError:
                    pass
    print(f"{name}: {sent} requests, answers {counts}", flush=True)


main()
