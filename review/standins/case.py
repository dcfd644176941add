"""What all cases share: the record, the exit code, and the end of all processes."""

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback

from node import Node
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2

# A case ends by itself before this, in seconds.
LONGEST = 110


class Case:
    """One run of a case. `trouble` tells whether the disruption takes place."""

    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.lines = open(record, "w", encoding="utf-8")
        self.logs = tempfile.mkdtemp(prefix="review-")
        self.nodes = []

    def record(self, text):
        """Writes a line with the time since the start, in seconds."""
        self.lines.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.lines.flush()

    def verdict(self, text):
        self.record(text)
        with contextlib.suppress(OSError):
            print(text, flush=True)

    async def start_nodes(self, store, count, **settings):
        for number in range(1, count + 1):
            name = f"front-cph-{number}"
            log = os.path.join(self.logs, f"{name}.log")
            self.nodes.append(Node(name, store, log=log, **settings).start())
        for node in self.nodes:
            await node.wait_ready()
        self.record(f"{count} machines are ready")
        return self.nodes

    def panics(self):
        """Returns what processes wrote before they ended by themselves."""
        found = []
        for node in self.nodes:
            with open(node.log, encoding="utf-8", errors="replace") as log:
                found += [f"{node.name}: {line.strip()}" for line in log if "panicked" in line or "overflow" in line]
        return found

    def end_nodes(self):
        for node in self.nodes:
            node.end()

    def close(self):
        self.end_nodes()
        shutil.rmtree(self.logs, ignore_errors=True)
        self.lines.close()


async def play_to_end(case, play):
    try:
        return await asyncio.wait_for(play(case, Store), LONGEST)
    finally:
        case.end_nodes()
        # The stand-ins see that their connections have ended.
        await asyncio.sleep(0.1)


def run(record, play):
    """Plays a case, writes its record to a file, and exits with its result.

    `play` returns whether the rule was broken.
    """
    case = Case(record)
    code = NOT_RUN
    # The processes end with this one.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(play_to_end(case, play))
        code = BROKEN if broken else HELD
        case.verdict("the rule was broken" if broken else "the rule held")
    except BaseException:
        case.record("the case couldn't run:\n" + traceback.format_exc())
        traceback.print_exc()
    finally:
        case.close()
    sys.exit(code)
