"""All machines are killed, and replicas of a new version come soon after."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from harness import TROUBLE, CantRun, Node, Server, Store, Stream, config, route, run_case, stream_events

STREAMS = 24
DOWN_S = 1.0
# `stable-window-ms` after the start, the machines are in touch.
IN_TOUCH_S = 3.5


async def case(record):
    store = Store()
    await store.start()
    engine = {"slots": 64, "kv-tokens": 310074}
    services = [{"name": "desk", "health-path": "/health", "max-conns": 360, "engine": engine}]
    routes = [route("brief", "streaming", 2, resumable=True, timeout=15000, target=1000, gap=300)]
    store.put("op/config", config(routes, services))
    servers = [Server(store, f"i-{number}", stream_events) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    nodes = [Node(store, f"front-a-{number}") for number in (1, 2)]
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(3)
        streams = [Stream(number) for number in range(STREAMS)]
        port = lambda number: nodes[number % 2].front
        begun = [asyncio.ensure_future(stream.attempt(
            port(stream.number), f"first-{stream.number}", until=None if TROUBLE else 8))
            for stream in streams]
        await asyncio.sleep(2.2)
        if TROUBLE:
            record.line("all machines are killed")
            for node in nodes:
                node.stop()
        statuses = await asyncio.gather(*begun)
        if any(status != 200 for status in statuses):
            raise CantRun(f"not all streams began: {statuses}")
        record.line(f"{STREAMS} streams broken off, after events {[s.last_id for s in streams]}")
        if TROUBLE:
            await asyncio.sleep(DOWN_S)
            for node in nodes:
                node.start()
            for node in nodes:
                await node.wait_ready()
            record.line("all machines are back")
        await asyncio.sleep(1.5)
        newer = [Server(store, f"i-{number}", stream_events, version="v2") for number in (11, 12)]
        for server in newer:
            await server.start()
        record.line("two replicas of version v2 are listed beside three of v1")
        await asyncio.sleep(IN_TOUCH_S)
        fresh = [Stream(number) for number in range(STREAMS)]
        left_ms = 5500
        again, new = await asyncio.gather(
            asyncio.gather(*(stream.attempt(port(stream.number + 1), f"second-{stream.number}", until=4,
                                            left_ms=left_ms) for stream in streams)),
            asyncio.gather(*(stream.attempt(port(stream.number), f"new-{stream.number}", until=4)
                             for stream in fresh)))
        record.line(f"streams that are taken up: {again}")
        record.line(f"new streams: {new}")
        gone_on = sum(status == 200 for status in again) / len(again)
        began = sum(status == 200 for status in new) / len(new)
        mixed = [stream.number for stream in streams if len(set(stream.versions)) > 1]
        record.line(f"share of streams that go on {gone_on:.2f}, of new ones that begin {began:.2f}; "
                    f"streams with two versions: {mixed}")
        if not began:
            raise CantRun("no new stream began")
        return gone_on < began / 2 or len(mixed) > 2
    finally:
        for node in nodes:
            node.stop()


run_case(HERE, case)
