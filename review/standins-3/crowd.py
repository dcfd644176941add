"""A crowd of clients that send chunked bodies and stop just short of their end.

Arguments: port, clients, bytes of each body, seconds. The clients connect and send
their heads. Then all of them send all chunks of their bodies but the last, empty one,
and stay open. Those that are refused or disconnected don't come again.
"""

import selectors
import socket
import sys
import time

# So many connect in a row, so that the queue of new connections isn't full.
CONNECTED_AT_ONCE = 20
CONNECT_PAUSE_S = 0.005


def open_client(port, number):
    """Connects and sends a head."""
    sock = socket.create_connection(("127.0.0.1", port), 3)
    sock.sendall((
        f"POST /brief/{number} HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: crowd-{number}\r\n"
        "X-Deadline-Ms: 15000\r\nAuthorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode())
    return sock


def main():
    port, clients, size = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    ends = time.monotonic() + float(sys.argv[4])
    selector = selectors.DefaultSelector()
    body = (b"400\r\n" + b"x" * 1024 + b"\r\n") * (size // 1024)
    socks = []
    for number in range(clients):
        socks.append(open_client(port, number))
        if number % CONNECTED_AT_ONCE == 0:
            time.sleep(CONNECT_PAUSE_S)
    refused = closed = 0
    for sock in socks:
        try:
            sock.sendall(body)
        except OSError:
            closed += 1
            sock.close()
            continue
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ)
    print(f"crowd: {clients - closed} clients have sent {size} bytes each", flush=True)
    while time.monotonic() < ends:
        for key, _ in selector.select(0.05):
            try:
                got = key.fileobj.recv(4096)
            except OSError:
                got = b""
            refused, closed = refused + bool(got), closed + (not got)
            selector.unregister(key.fileobj)
            key.fileobj.close()
    print(f"crowd: {refused} were refused, {closed} disconnected", flush=True)


main()
