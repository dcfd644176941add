"""Stand-ins of the store, of plain servers and of callers, and the start of dewnode.

Only Python's standard library is used. Everything listens on loopback.
"""

import asyncio
import base64
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


def permit_sockets():
    """Lets this process and those that it starts open as many sockets as they may."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class CantRun(Exception):
    """The case could not be run."""


def free_ports(count):
    """Returns the first of several ports in a row on which nothing listens now. They
    are below those from which the kernel takes the ports of connections."""
    while True:
        first = random.randrange(20_000, 30_000)
        sockets = [socket.socket(type=kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
                   for _ in range(count)]
        try:
            for number, sock in enumerate(sockets):
                sock.bind(("127.0.0.1", first + number % count))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()


async def read_head(reader):
    """Reads a head; returns its first line and its fields in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads the body that the fields announce."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's metadata store, as the users' pages describe it."""

    def __init__(self):
        self.revision = 10
        self.first_revision = 0
        self.era = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.connections = set()
        self.port = 0
        # Whether calls get no answer, and the share of writes that are done and not
        # answered, at once or late.
        self.is_silent = False
        self.lost_share = 0.0
        self.late_share = 0.0
        self.copies = []

    def keep_copy(self):
        """Keeps a copy of the data, to which `return_from_copy` can go back."""
        self.copies.append((time.monotonic(), self.revision, dict(self.items), dict(self.leases)))
        self.copies = self.copies[-40:]

    def return_from_copy(self, age_s):
        """Goes back to a copy of this age at least; what servers and the operator wrote
        since is written again."""
        wanted = time.monotonic() - age_s
        _, revision, items, leases = [copy for copy in self.copies if copy[0] <= wanted][-1]
        others = {key: item for key, item in self.items.items() if key.startswith(("op/", "servers/"))}
        self.revision, self.items, self.leases = revision, dict(items), dict(leases)
        self.leases = {lease: (ttl, time.monotonic() + ttl / 1000) for lease, (ttl, _) in leases.items()}
        self.history = []
        self.first_revision = revision
        self.era += 1
        for writer in list(self.connections):
            writer.transport.abort()
        for key, item in others.items():
            if items.get(key) != item:
                self.put(key, base64.b64decode(item["value"]))

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            ended = [lease for lease, (_, until) in self.leases.items() if until < time.monotonic()]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.commit([], keys)

    def commit(self, puts, removed):
        """Applies a transaction; `puts` holds rows of key, value and lease."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["create-rev"] if key in self.items else self.revision
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "create-rev": created,
                "lease": lease,
            }
            self.history.append(dict(self.items[key]))
        for key in removed:
            if self.items.pop(key, None) is not None:
                tombstone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append(tombstone)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """Writes as the operator or a server."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.commit([(key, text, 0)], [])

    def delete(self, key):
        self.commit([], [key])

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                if self.is_silent:
                    await asyncio.sleep(60)
                    return
                if method == "POST" and target == "/api/kv-txn" and json.loads(body)["puts"]:
                    chance = random.random()
                    if chance < self.lost_share:
                        self.transact(json.loads(body))
                        await asyncio.sleep(60)
                        return
                    if chance < self.lost_share + self.late_share:
                        await asyncio.sleep(random.uniform(1, 6))
                        self.transact(json.loads(body))
                        await asyncio.sleep(60)
                        return
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nStore-Era: {self.era}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as-of": self.revision}
            return 200, {**item, "as-of": self.revision}
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "as-of": self.revision, "more-pages": len(keys) > 500}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(json.loads(body))
        if path == "/api/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[-1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        if after > self.revision or after < self.first_revision:
            return 410, {}
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            events = [event for event in self.history if event["revision"] > after]
            events = [event for event in events if event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        expected = call.get("expected", [])
        if any(current(row["key"]) != row["revision"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": items}
        puts = call.get("puts", [])
        if any(row["lease"] and row["lease"] not in self.leases for row in puts):
            return 404, {}
        rows = [(row["key"], base64.b64decode(row["value"]), row["lease"]) for row in puts]
        removed = call.get("remove", [])
        if not rows and not removed:
            return 200, {"revision": self.revision}
        return 200, {"revision": self.commit(rows, removed)}


class Server:
    """A server of a plain service; `handle` gets the request and the connection."""

    def __init__(self, store, name, handle, service="desk", version="v1", slots=64):
        self.store, self.name, self.handle = store, name, handle
        self.service, self.version, self.slots = service, version, slots
        self.requests = []
        self.connections = set()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.list()

    def list(self, state="ready"):
        self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
            "version": self.version, "slots": self.slots, "state": state, "cold-remaining-ms": 0,
            "sequence": 1, "born": 1,
        })

    def crash(self):
        """Ends like a process that crashes: its connections and its listener are gone."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                self.requests.append((time.monotonic(), line, fields))
                if not await self.handle(self, line, fields, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def answer_bytes(fields, body, status=200, extra=""):
    """Returns a server's whole answer."""
    head = (
        f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\n"
        f"X-Server-Seal: seal-{fields['x-attempt-id']}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def route(name, kind, attempts=2, resumable=False, timeout=3000, target=300, gap=300, service="desk"):
    return {
        "name": name, "host": "news.example", "prefix": f"/{name}/", "kind": kind,
        "timeout-ms": timeout, "target-latency-ms": target, "gap-aim-ms": gap, "priority": 1,
        "service": service, "max-attempts": attempts, "resumable": resumable, "public": False,
    }


def config(routes, services=None, version=1, tenants=None, limits=None):
    bounds = {
        "max-header-bytes": 16384, "max-body-bytes": 4194304,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
    }
    bounds.update(limits or {})
    services = services or [{"name": "desk", "health-path": "/health", "max-conns": 360}]
    tenants = tenants or [{"name": "paper", "api-keys": ["k1"], "priority": 1}]
    return {
        "version": version, "routes": routes, "services": services,
        "limits": bounds, "tenants": tenants,
    }


class Node:
    """A process of the deploy file's program."""

    def __init__(self, store, name="front-a-1", memory_mb=110, max_fds=4100, cloud="", bounds=""):
        base = free_ports(4)
        self.name, self.log = name, None
        self.front, self.ready_port, first, last = range(base, base + 4)
        self.metrics = last
        self.folder = tempfile.mkdtemp(prefix="dewnode-")
        self.path = os.path.join(self.folder, "boot.toml")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal-ports = [{first}, {last}]
[listen]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready_port}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = {max_fds}
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
config-ms = 2000
fail-closed = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
{bounds}
[platform]
address = "127.0.0.1:{store.port}"
form = "kv"
{cloud}
""")
        self.process = None

    def start(self):
        program = os.path.join(ROOT, "target", "release", "dewnode")
        if not os.path.exists(program):
            raise CantRun("target/release/dewnode is missing: run the build of the deploy file")
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        environment = {**os.environ, "DEWSPRING_NODE_FILE": self.path}
        self.process = subprocess.Popen([program], env=environment, stdout=self.log,
                                        stderr=self.log, cwd=ROOT)

    def log_text(self):
        with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def is_ready(self, timeout=1.0):
        """Asks for readiness as the platform does."""
        try:
            return await asyncio.wait_for(self.ask_ready(), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            return False

    async def ask_ready(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await read_head(reader)
            return " 200 " in line
        finally:
            writer.close()

    async def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CantRun(f"{self.name} did not become ready")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0


async def stream_events(server, line, fields, body, reader, writer, count=60, gap_s=0.25):
    """Answers as a server of streams: one event after the other, with rising ids."""
    first = int(fields.get("last-event-id", "0")) + 1
    writer.write((
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\n"
        f"X-Server-Seal: seal-{server.name}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(first, count + 1):
        event = f"id: {number}\ndata: {server.version} {server.name}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Stream:
    """A caller's stream, over one or more attempts."""

    def __init__(self, number):
        self.number, self.first_attempt, self.last_id = number, None, 0
        self.versions, self.ids, self.complete = [], [], False

    async def attempt(self, port, attempt, until=None, path="/brief/a", key="k1", left_ms=15000):
        """Begins the stream or takes it up; reads until the end, or as many events as
        `until` says. Returns the status, or what went wrong as a text."""
        extra = ""
        if self.first_attempt:
            extra = f"Last-Event-Id: {self.last_id}\r\nResumes: {self.first_attempt}\r\n"
        status, read = "closed", 0
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return "not connected"
        try:
            writer.write((
                f"POST {path} HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {left_ms}\r\nAuthorization: Bearer {key}\r\n"
                f"X-Token-Counts: 100,60\r\n{extra}Content-Length: 1\r\n\r\nx").encode())
            line, fields = await read_head(reader)
            status = int(line.split(" ")[1])
            if status != 200:
                return status
            while until is None or read < until:
                size = int(await reader.readline(), 16)
                chunk = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    self.complete = True
                    break
                for event in filter(None, chunk.decode().split("\n\n")):
                    rows = dict(row.split(": ", 1) for row in event.split("\n"))
                    self.last_id = int(rows["id"])
                    self.ids.append(self.last_id)
                    self.versions.append(rows["data"].split(" ")[0])
                    self.first_attempt = self.first_attempt or attempt
                    read += 1
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
        return status if read else f"{status}, no event"


async def call(port, path, attempt, key="k1", method="POST", body=b"x", deadline_ms=1500, extra=""):
    """Sends one request on a new connection; returns the status, the fields and the body,
    or what went wrong as a text in place of the status."""
    try:
        return await asyncio.wait_for(
            exchange(port, path, attempt, key, method, body, deadline_ms, extra), deadline_ms / 1000)
    except asyncio.TimeoutError:
        return "deadline", {}, b""
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"closed: {type(error).__name__}", {}, b""


async def exchange(port, path, attempt, key, method, body, deadline_ms, extra):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        line, fields = await read_head(reader)
        return int(line.split(" ")[1]), fields, await read_body(reader, fields)
    finally:
        writer.close()


class KeptCaller:
    """A caller that keeps its connection for the next request."""

    def __init__(self, port, key):
        self.port, self.key, self.streams = port, key, None

    async def call(self, path, attempt, method="POST", body=b"x", deadline_ms=1500):
        """Sends a request; returns its status, or what went wrong as a text."""
        try:
            return await asyncio.wait_for(
                self.exchange(path, attempt, method, body, deadline_ms), deadline_ms / 1000)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            if self.streams:
                self.streams[1].close()
            self.streams = None
            return f"no answer: {type(error).__name__}"

    async def exchange(self, path, attempt, method, body, deadline_ms):
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port)
        reader, writer = self.streams
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: news.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {self.key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        line, fields = await read_head(reader)
        await read_body(reader, fields)
        if fields.get("connection", "").lower() == "close":
            writer.close()
            self.streams = None
        return int(line.split(" ")[1])


async def ordinary(node, number, ends, results, path, key):
    """Sends one request after the other on a kept connection, each with 6 s to wait."""
    caller = KeptCaller(node.front, key)
    count = 0
    while time.monotonic() < ends:
        began = time.monotonic()
        status = await caller.call(path, f"ordinary-{number}-{count}", deadline_ms=6000)
        results.append((began, status, (time.monotonic() - began) * 1000))
        count += 1
        await asyncio.sleep(0.25)


async def platform(node, ends, questions):
    """Asks for readiness once a second."""
    while time.monotonic() < ends:
        began = time.monotonic()
        questions.append((began, await node.is_ready()))
        await asyncio.sleep(max(0.0, began + 1 - time.monotonic()))


async def watch(node, seconds, callers, path, key):
    """Lets ordinary callers and the platform ask for a time; returns the requests (when
    sent, status, how long in ms) and the questions (when asked, whether ready)."""
    results, questions = [], []
    ends = time.monotonic() + seconds
    await asyncio.gather(platform(node, ends, questions),
                         *(ordinary(node, number, ends, results, path, key) for number in range(callers)))
    return results, questions


def late_answers(record, node, began, results, questions, timeout_ms):
    """Records what the ordinary callers saw; returns whether the rule CONFIG on requests
    that are unanswered at their route's timeout was broken, by eight requests or more."""
    for sent, status, took in results:
        if took >= timeout_ms:
            record.line(f"a request sent {sent - began:.2f} s after the crowd: {status} after {took:.0f} ms")
    missed = [f"{asked - began:.0f} s" for asked, ready in questions if not ready]
    record.line(f"questions for readiness without a 200 within 1 s, after the crowd: {', '.join(missed) or 'none'}")
    unanswered = [took for _, _, took in results if took >= timeout_ms]
    late = sum(took >= timeout_ms + 500 for took in unanswered)
    ended = node.process.poll() is not None
    memory = "" if ended else f"; memory of dewnode: {node.rss_mb():.0f} MB"
    record.line(f"{len(results)} ordinary requests, {len(unanswered)} unanswered at the route's timeout of "
                f"{timeout_ms} ms, {late} of them half a second later; dewnode has ended: {ended}{memory}")
    return ended or (late >= 8 and late * 2 > len(unanswered))


def run_case(folder, case):
    """Runs a case, which returns whether the rule was broken, and exits as agreed."""
    permit_sockets()
    record = Record(folder)
    record.line(f"TROUBLE={int(TROUBLE)}")
    code = 2
    try:
        broken = asyncio.run(case(record))
        record.line("broken" if broken else "held")
        code = int(broken)
    except Exception as error:  # whatever went wrong, the rule wasn't judged
        record.line(f"the case could not run: {type(error).__name__}: {error}")
    sys.exit(code)
