"""One replica of a service spoils a header in one of fifty of its answers. No other
request may be lost."""

import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import case as cases
import client
from server import Server

MACHINES = 2
CLIENTS = 80
BETWEEN_REQUESTS_S = (0.2, 0.6)
COMMIT_SHARE = 0.7
GARBLE_SHARE = 0.35
GARBLE_ANSWERS = 0.02
GARBLE_S = 5.5
SOUND_TIMEOUT = "timeout=5"
SPOILT_TIMEOUT = f"timeout={2**64 - 1}"
SEED = 1
# The rule allows three such requests.
ALLOWED = 3

CONFIG = client.config(
    1,
    [
        client.route("booking-commit", "/commit/", "non_idempotent", "booking-api", 800, 100, 1),
        client.route("rate-lookup", "/lookup/", "idempotent", "booking-api", 800, 100, 2),
    ],
    [{"name": "booking-api", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}],
)


async def use_connection(node, randoms, results):
    """A client that sends one request after the other on a connection that it keeps."""
    connection = client.KeptConnection(node)
    try:
        while True:
            await asyncio.sleep(randoms.uniform(*BETWEEN_REQUESTS_S))
            if randoms.random() < COMMIT_SHARE:
                result = await connection.ask("POST", "/commit/1", body=b"x" * 600)
            else:
                result = await connection.ask("GET", "/lookup/1")
            results.append(result)
    finally:
        connection.close()


async def play(case, store_type):
    randoms = random.Random(SEED)
    store = await store_type().start()
    store.put("op/config", CONFIG)
    servers = [Server(store, "booking-api", f"i-{n}", work_s=0.06) for n in range(1, 4)]
    faulty = servers[: int(len(servers) * GARBLE_SHARE)]
    spoilt = set()
    garbles = False

    async def answer(server, request, writer):
        is_spoilt = garbles and server in faulty and len(server.ran) % round(1 / GARBLE_ANSWERS) == 0
        await asyncio.sleep(server.work_s)
        attempt = request.headers["x-attempt-id"]
        if is_spoilt:
            spoilt.add(attempt)
            case.record(f"{server.name} answers {attempt} with Keep-Alive: {SPOILT_TIMEOUT}")
        timeout = SPOILT_TIMEOUT if is_spoilt else SOUND_TIMEOUT
        writer.write(server.encode(200, request, [("Keep-Alive", timeout)], b"done\n"))
        await writer.drain()
        return True

    for server in servers:
        server.handle = answer
        await server.start()
    nodes = await case.start_nodes(store, MACHINES)
    supervisors = [asyncio.create_task(node.supervise(case.record)) for node in nodes]

    results = []
    clients = [
        asyncio.create_task(use_connection(nodes[number % MACHINES], randoms, results)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(6.0)
    if case.trouble:
        garbles = True
        case.record(f"{', '.join(server.name for server in faulty)} spoils one answer of {round(1 / GARBLE_ANSWERS)}")
    await asyncio.sleep(GARBLE_S)
    garbles = False
    await asyncio.sleep(3.0)
    for task in [*supervisors, *clients]:
        task.cancel()
    await asyncio.wait(clients, timeout=2.0)

    sound = {attempt for server in servers for attempt in server.ran} - spoilt
    outcomes = collections.Counter(client.outcome(answer) for _, _, answer in results)
    lost = [attempt for attempt, was_kept, answer in results if answer is None and was_kept and attempt in sound]
    for line in case.panics():
        case.record(line)
    case.record(f"answers: {dict(outcomes)}")
    case.record(f"run and not answered, from kept connections, without the spoilt ones: {' '.join(lost) or 'none'}")
    case.record(f"runs at replicas: {', '.join(f'{server.name} {len(server.ran)}' for server in servers)}")
    ends = ", ".join(f"{node.name} {node.ends}" for node in nodes)
    case.verdict(
        f"processes ended by themselves: {ends}; {len(lost)} requests from kept connections reached a sound replica"
        f" and got no answer; {ALLOWED} are allowed"
    )
    return len(lost) > ALLOWED


cases.run(os.path.join(FOLDER, "record.txt"), play)
