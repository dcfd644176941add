"""A machine is killed right after streams have begun at it, while two versions serve."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from harness import TROUBLE, CantRun, Node, Server, Store, Stream, config, route, run_case, stream_events

STREAMS = 24
# Time until the clients of broken streams ask another machine.
RETRY_S = 0.5


async def all_begun(streams):
    """Waits until each client has the first event of its stream."""
    ends = time.monotonic() + 5
    while not all(stream.first_attempt for stream in streams):
        if time.monotonic() > ends:
            raise CantRun("not all streams began")
        await asyncio.sleep(0.001)


async def case(record):
    store = Store()
    await store.start()
    engine = {"slots": 64, "kv-tokens": 310074}
    services = [{"name": "desk", "health-path": "/health", "max-conns": 360, "engine": engine}]
    routes = [route("brief", "streaming", 2, resumable=True, timeout=15000, target=1000, gap=300)]
    store.put("op/config", config(routes, services))
    for number, version in ((1, "v1"), (2, "v1"), (11, "v2"), (12, "v2")):
        await Server(store, f"i-{number}", stream_events, version=version).start()
    killed, other = (Node(store, f"front-a-{number}") for number in (1, 2))
    try:
        for node in (killed, other):
            node.start()
        for node in (killed, other):
            await node.wait_ready()
        # `stable-window-ms` after the start, the machines are in touch.
        await asyncio.sleep(4)
        streams = [Stream(number) for number in range(STREAMS)]
        began = time.monotonic()
        begun = [asyncio.ensure_future(stream.attempt(
            killed.front, f"first-{stream.number}", until=None if TROUBLE else 4)) for stream in streams]
        await all_begun(streams)
        if TROUBLE:
            killed.stop()
            record.line(f"each client has an event, and {killed.name} is killed, "
                        f"{(time.monotonic() - began) * 1000:.0f} ms after the requests")
        await asyncio.gather(*begun)
        record.line(f"{STREAMS} streams broken off, after events {[stream.last_id for stream in streams]}, "
                    f"begun at {[stream.versions[0] for stream in streams]}")
        await asyncio.sleep(RETRY_S)
        fresh = [Stream(number) for number in range(STREAMS)]
        left_ms = 13000
        again, new = await asyncio.gather(
            asyncio.gather(*(stream.attempt(other.front, f"second-{stream.number}", until=4, left_ms=left_ms)
                             for stream in streams)),
            asyncio.gather(*(stream.attempt(other.front, f"new-{stream.number}", until=4) for stream in fresh)))
        record.line(f"streams that are taken up at {other.name}: {again}")
        record.line(f"new streams at {other.name}: {new}")
        gone_on = sum(status == 200 for status in again) / len(again)
        share = sum(status == 200 for status in new) / len(new)
        mixed = [stream.number for stream in streams if len(set(stream.versions)) > 1]
        record.line(f"share of streams that go on {gone_on:.2f}, of new ones that begin {share:.2f}; "
                    f"streams with two versions: {mixed}")
        if not share:
            raise CantRun("no new stream began")
        return gone_on < share / 2 or len(mixed) > 2
    finally:
        for node in (killed, other):
            node.stop()


run_case(HERE, case)
