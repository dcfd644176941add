"""A stand-in for clients."""

import asyncio
import itertools

import wire

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"

attempts = itertools.count(1)


def new_attempt():
    return f"{next(attempts):016x}"


def request_bytes(method, path, attempt, deadline_ms, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class KeptConnection:
    """A client's connection that carries one request after the other."""

    def __init__(self, node):
        self.node = node
        self.reader = None
        self.writer = None
        self.requests = 0

    async def ask(self, method, path, deadline_ms=1500, headers=(), body=b""):
        """Sends a request; returns the attempt, whether the connection had carried
        another request before, and the answer.

        The answer is `None` if the connection ends without a complete one, and `late`
        if none has come by half a second after the deadline.
        """
        attempt = new_attempt()
        if self.reader is not None and (self.reader.at_eof() or self.reader.exception()):
            self.close()
        was_kept = self.writer is not None
        try:
            if self.writer is None:
                opened = asyncio.open_connection("127.0.0.1", self.node.front)
                self.reader, self.writer = await asyncio.wait_for(opened, 1.0)
        except (OSError, asyncio.TimeoutError):
            return attempt, False, "no connection"
        try:
            self.writer.write(request_bytes(method, path, attempt, deadline_ms, headers, body))
            answer = await asyncio.wait_for(wire.read_message(self.reader), deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer = "late"
        except ConnectionError:
            answer = None
        if not isinstance(answer, wire.Message) or answer.headers.get("connection") == "close":
            self.close()
        return attempt, was_kept, answer

    def close(self):
        if self.writer is not None:
            wire.abort(self.writer)
            self.reader = self.writer = None


def outcome(answer):
    """Names what a client got."""
    if answer is None:
        return "cut"
    return answer if isinstance(answer, str) else str(answer.status)


def route(name, prefix, kind, service, timeout_ms, target_ms, max_attempts, public=False, **more):
    row = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 2,
        "service": service,
        "max-attempts": max_attempts,
        "public": public,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    return {**row, **more}


def config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
    }
