"""The operator shifts the weights of a route, and a machine is killed. The streams that
its clients take up at the other machines must go on."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import case as cases
import client
from server import Server
from streams import Stream, pool, writer_of

EVENTS = 56
EVENT_GAP_S = 0.15
MACHINES = 4
STREAMS = 32
NEW_STREAMS = 32
DEADLINE_MS = 15000
STABLE_WINDOW_S = 3.0
WEIGHTS_BEFORE = {"pool-a": 90, "pool-b": 10}
WEIGHTS_AFTER = {"pool-a": 10, "pool-b": 90}


def config(version, weights):
    backends = [{"service": name, "weight": weight} for name, weight in weights.items()]
    explainer = client.route(
        "fee-explainer", "/fees/", "streaming", None, DEADLINE_MS, 1200, 2,
        resumable=True, backends=backends, **{"gap-aim-ms": 300},
    )
    del explainer["service"]
    return client.config(version, [explainer], [pool(name) for name in weights])


def new_stream(number):
    prompt = f"{0x5C1E0700 + number:x}:103,{0xE4402B00 + number:x}:69,{0x91BD0000 + number:x}:371"
    return Stream("/fees/1", "543,280", prompt)


async def play(case, store_type):
    store = await store_type().start()
    store.put("op/config", config(1, WEIGHTS_BEFORE))
    write = writer_of(EVENTS, EVENT_GAP_S)
    servers = []
    for service, version in (("pool-a", "a1"), ("pool-b", "b1")):
        for number in range(1, 4):
            server = Server(store, service, f"{service}-{number}", version=version, slots=64, handle=write)
            servers.append(await server.start())
    nodes = await case.start_nodes(store, MACHINES)
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    begun = [new_stream(number) for number in range(STREAMS)]
    followers = []
    for number, stream in enumerate(begun):
        other = nodes[1 + number % (MACHINES - 1)]
        followers.append(asyncio.create_task(stream.follow([nodes[0], other], DEADLINE_MS)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(1.0)

    weights = WEIGHTS_AFTER if case.trouble else WEIGHTS_BEFORE
    store.put("op/config", config(2, weights))
    case.record(f"version 2 of the configuration: weights {weights}")
    await asyncio.sleep(STABLE_WINDOW_S)
    for stream in begun:
        stream.events_at_kill = len(stream.events)
    nodes[0].send_signal(signal.SIGKILL)
    case.record(f"{nodes[0].name} is killed")

    new = []
    for number in range(NEW_STREAMS):
        new.append(new_stream(1000 + number))
        node = nodes[1 + number % (MACHINES - 1)]
        followers.append(asyncio.create_task(new[-1].follow([node], DEADLINE_MS, tries=1)))
        await asyncio.sleep(0.03)
    await asyncio.wait(followers)

    taken_up = [stream for stream in begun if len(stream.tries) > 1]
    gone_on = [stream for stream in taken_up if len(stream.events) > stream.events_at_kill + 1]
    new_begun = [stream for stream in new if stream.events]
    for number, stream in enumerate(begun + new, 1):
        case.record(f"stream {number}: {stream.describe()}")
    for server in servers:
        case.record(f"{server.name} ({server.version}) ran {' '.join(server.ran)}")
    case.verdict(
        f"{len(gone_on)} of {len(taken_up)} streams that were taken up went on,"
        f" {len(new_begun)} of {len(new)} new streams began"
    )
    if len(taken_up) < 12:
        raise RuntimeError("the rule needs 12 streams that are taken up")
    return len(gone_on) / len(taken_up) < len(new_begun) / len(new) / 2


cases.run(os.path.join(FOLDER, "record.txt"), play)
