"""The operator shortens the time-out of the streams, and half of the replicas are
replaced. Streams must go on only at the version that began them."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import case as cases
import client
from server import Server
from streams import Stream, pool, writer_of

EVENTS = 56
EVENT_GAP_S = 0.22
STREAMS = 24
DEADLINE_MS = 15000
LONG_TIMEOUT_MS = 15000
SHORT_TIMEOUT_MS = 1500
REPLACED = 2
RELEASE_GAP_S = 1.0
# `drain-ms`, and a little longer.
SERVES_ON_S = 2.0 + 4.0
# The rule allows two such streams.
ALLOWED = 2


def config(version, timeout_ms):
    explainer = client.route(
        "fee-explainer", "/fees/", "streaming", "pool", timeout_ms, 1200, 2,
        resumable=True, **{"gap-aim-ms": 300},
    )
    return client.config(version, [explainer], [pool("pool")])


async def play(case, store_type):
    store = await store_type().start()
    store.put("op/config", config(1, LONG_TIMEOUT_MS))
    write = writer_of(EVENTS, EVENT_GAP_S)

    async def start(name, version):
        return await Server(store, "pool", name, version=version, slots=64, handle=write).start()

    old = [await start(f"i-{n}", "v1") for n in range(1, 1 + REPLACED)]
    new = [await start(f"i-{n}", "v2") for n in range(1 + REPLACED, 1 + 2 * REPLACED)]
    nodes = await case.start_nodes(store, 2)
    await asyncio.sleep(4.0)

    streams, followers = [], []
    for number in range(STREAMS):
        prompt = f"{0x5C1E0700 + number:x}:103,{0xE4402B00 + number:x}:69,{0x91BD0000 + number:x}:371"
        streams.append(Stream("/fees/1", "543,280", prompt))
        order = nodes if number % 2 == 0 else nodes[::-1]
        followers.append(asyncio.create_task(streams[-1].follow(order, DEADLINE_MS)))
        await asyncio.sleep(0.04)
    await asyncio.sleep(1.0)

    version, timeout_ms = (2, SHORT_TIMEOUT_MS) if case.trouble else (2, LONG_TIMEOUT_MS)
    store.put("op/config", config(version, timeout_ms))
    case.record(f"version {version} of the configuration: timeout-ms {timeout_ms}")
    await asyncio.sleep(0.5)

    ends = []
    for number, server in enumerate(old):
        new.append(await start(f"i-{5 + number}", "v2"))
        store.remove(f"servers/{server.name}")
        case.record(f"{new[-1].name} has started at v2; the entry of {server.name} is removed")
        ends.append(asyncio.get_running_loop().time() + SERVES_ON_S)
        await asyncio.sleep(RELEASE_GAP_S)
    for server, end in zip(old, ends):
        await asyncio.sleep(max(0.0, end - asyncio.get_running_loop().time()))
        case.record(f"{server.name} exits; {server.running} streams run there")
        await server.stop()

    await asyncio.wait(followers)
    mixed = sum(stream.has_two_versions() for stream in streams)
    for number, stream in enumerate(streams, 1):
        case.record(f"stream {number}: {stream.describe()}")
    for server in old + new:
        case.record(f"{server.name} ({server.version}) ran {' '.join(server.ran)}")
    case.verdict(f"{mixed} of {STREAMS} streams hold events of two versions; {ALLOWED} are allowed")
    return mixed > ALLOWED


cases.run(os.path.join(FOLDER, "record.txt"), play)
