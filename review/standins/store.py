"""A stand-in for the platform's metadata store."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

PAGE_ITEMS = 500


class Store:
    """The store on a loopback port."""

    def __init__(self, era=1):
        self.items = {}
        self.leases = {}
        self.changes = []
        self.revision = 1
        self.next_lease = 1
        self.era = era
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.ticker = asyncio.create_task(self.expire_leases())
        return self

    # What the operator and the servers do.

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, json.dumps(value).encode() if not isinstance(value, bytes) else value, lease)
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.erase(key)
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease):
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create-rev": old["create-rev"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.changes.append(item)

    def erase(self, key):
        del self.items[key]
        self.changes.append({"key": key, "revision": self.revision, "tombstone": True})

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (ends, _) in self.leases.items() if ends <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.erase(key)
            self.wake()
        return True

    # What callers see.

    async def serve(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                status, body = await self.answer(request)
                data = json.dumps(body).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(wire.encode(f"HTTP/1.1 {status} Status", headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            wire.abort(writer)

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        body = json.loads(request.body) if request.body else {}
        path = url.path
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as-of": self.revision}) if item else (404, {"as-of": self.revision})
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "more-pages": len(keys) > PAGE_ITEMS, "as-of": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.commit(body)
        if path == "/api/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + body["ttl-ms"] / 1000, body["ttl-ms"])
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}

    async def watch(self, query):
        after, deadline = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            found = [
                change
                for change in self.changes
                if change["revision"] > after and change["key"].startswith(query["prefix"])
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        current = []
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[row["key"]] for row in body["expected"] if row["key"] in self.items]
                return 412, {"items": current}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        removed = [key for key in body["remove"] if key in self.items]
        if body["puts"] or removed:
            self.revision += 1
            for put in body["puts"]:
                self.write(put["key"], base64.b64decode(put["value"]), put["lease"])
            for key in removed:
                self.erase(key)
            self.wake()
        return 200, {"revision": self.revision}
