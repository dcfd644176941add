"""A stand-in for the replicas of a service."""

import asyncio
import itertools
import json
import time

import wire

LISTEN_TRIES = 20
LISTEN_PAUSE_S = 0.05


class Server:
    """A replica on a loopback port.

    `handle` answers a request that the replica runs: a coroutine that takes the
    replica, the request, and the writer, and returns whether the connection stays
    open. Without it, the replica answers after `work_s`.
    """

    def __init__(self, store, service, name, version="v1", slots=6, zone="cph-a", work_s=0.015, handle=None):
        self.store = store
        self.service = service
        self.name = name
        self.version = version
        self.slots = slots
        self.zone = zone
        self.work_s = work_s
        self.handle = handle
        self.headers = []
        self.server = None
        self.port = 0
        self.tasks = set()
        self.writers = set()
        self.ran = []
        self.running = 0
        self.beats = itertools.count(1)

    async def start(self):
        self.server = await self.listen()
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self.register()
        return self

    async def listen(self):
        """Listens; after a restart, a client may hold the port for a moment."""
        for _ in range(LISTEN_TRIES):
            try:
                return await asyncio.start_server(self.serve, "127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(LISTEN_PAUSE_S)
        raise RuntimeError(f"port {self.port} is taken")

    def register(self):
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": next(self.beats),
                "born": self.born,
            },
        )

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                if not await self.answer(request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            wire.abort(writer)

    async def answer(self, request, writer):
        attempt = request.headers.get("x-attempt-id", "")
        if request.method == "GET" and request.target in ("/api/report", "/health"):
            report = {"stage": "both", "busy": False, "sequence": 0, "running": self.running, "waiting": 0}
            body = json.dumps({**report, "born": self.born}).encode()
            writer.write(wire.encode("HTTP/1.1 200 OK", [("X-Instance-Id", self.name)], body))
            await writer.drain()
            return True
        if request.headers.get("x-expect-instance") != self.name:
            writer.write(self.encode(421, request, [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.ran.append(attempt)
        self.running += 1
        try:
            if self.handle is not None:
                return await self.handle(self, request, writer)
            await asyncio.sleep(self.work_s)
            writer.write(self.encode(200, request, body=b"done\n"))
            await writer.drain()
            return True
        finally:
            self.running -= 1

    def encode(self, status, request, headers=(), body=b""):
        return wire.encode(f"HTTP/1.1 {status} Status", self.answer_headers(request) + list(headers), body)

    def answer_headers(self, request):
        attempt = request.headers.get("x-attempt-id", "")
        load = f"{self.running},0,{self.slots}"
        own = [("X-Attempt-Id", attempt), ("X-Server-Seal", f"{self.name}.{attempt}"), ("X-Server-Load", load)]
        return own + self.headers

    async def stop(self):
        """Ends the replica at once: its port refuses, its connections end."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            wire.abort(writer)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
