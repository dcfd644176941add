"""Streams whose events name the software version that wrote them, and their clients."""

import asyncio

import client
import wire

ENGINE = {
    "slots": 64,
    "kv-tokens": 310074,
    "kv-bytes": 18432,
    "link-mbps": 180000.0,
    "stride": 5,
    "most": 12,
    "models": [{"name": "m"}],
}


def pool(name):
    """Returns the row of a service of model replicas."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 360,
        "protocol": "h1",
        "tls": False,
        "engine": ENGINE,
    }


def writer_of(events, gap_s):
    """Returns how a replica answers: with the events after the client's last one."""

    async def write(server, request, writer):
        last = int(request.headers.get("last-event-id", 0))
        lines = [f"{name}: {value}" for name, value in server.answer_headers(request)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(last + 1, events + 1):
            event = f"id: {number}\ndata: {server.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return write


class Stream:
    """A stream as its client sees it over all its tries."""

    def __init__(self, path, tokens, prompt):
        self.path = path
        self.tokens = tokens
        self.prompt = prompt
        self.first_attempt = None
        self.events = []
        self.tries = []
        self.is_complete = False

    def has_two_versions(self):
        return len({version for _, version in self.events}) > 1

    def describe(self):
        tries = ", ".join(f"{attempt} {status}" for attempt, status in self.tries)
        versions = " ".join(version for _, version in self.events)
        marks = ("; complete" if self.is_complete else "") + ("; TWO VERSIONS" if self.has_two_versions() else "")
        return f"tries {tries}; events {versions}{marks}"

    async def follow(self, nodes, deadline_ms, tries=2):
        """Reads the stream, and takes it up once at the next machine if it breaks."""
        ends = asyncio.get_running_loop().time() + deadline_ms / 1000
        for number in range(tries):
            left_ms = round((ends - asyncio.get_running_loop().time()) * 1000)
            if left_ms <= 0:
                break
            self.is_complete = await self.read(nodes[number % len(nodes)], left_ms)
            if self.is_complete:
                break
            await asyncio.sleep(0.1)
        return self

    async def read(self, node, deadline_ms):
        """One client attempt; returns whether the stream is complete."""
        attempt = client.new_attempt()
        headers = [("X-Model", "m"), ("X-Token-Counts", self.tokens), ("X-Prompt-Prefix", self.prompt)]
        if self.events:
            headers += [("Last-Event-Id", self.events[-1][0]), ("Resumes", self.first_attempt)]
        else:
            self.first_attempt = attempt
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
            writer.write(client.request_bytes("POST", self.path, attempt, deadline_ms, headers, b"draft"))
            head = await asyncio.wait_for(wire.read_head(reader), deadline_ms / 1000)
            self.tries.append((attempt, head.status if head else "cut"))
            if head is None or head.status != 200:
                return False
            text = b""
            while chunk := await wire.read_chunk(reader):
                text += chunk
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    number, version = (line.split(b": ", 1)[1].decode() for line in event.split(b"\n"))
                    self.events.append((int(number), version))
            return True
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            return False
        finally:
            if writer is not None:
                wire.abort(writer)
