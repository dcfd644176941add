"""Starts and ends `dewnode` processes with settings like those of a small deployment."""

import asyncio
import os
import resource
import signal
import socket
import subprocess
import tempfile

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "dewnode")

# `max-fds` of the settings.
MAX_FDS = 4100

# Delay of the platform before it starts an ended process again, in seconds.
RESTART_DELAY_S = 0.3

SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "dk-east"
internal-ports = [{first}, {last}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = {max_fds}
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
lost-ms = 200
config-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
fail-closed = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
recover-s = 12
pass-ms = 120
again-s = 5.8
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def limit_files():
    """Gives a process the number of descriptors that its settings name, if it can."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = MAX_FDS if most == resource.RLIM_INFINITY else min(MAX_FDS, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, most))


def free_ports(count):
    """Returns ports that are free now, one after the other."""
    while True:
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind(("127.0.0.1", 0))
            start = first.getsockname()[1]
            if start + count > 65000:
                continue
            for port in range(start, start + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    if (port, kind) != (start, socket.SOCK_STREAM):
                        other = socket.socket(type=kind)
                        sockets.append(other)
                        other.bind(("127.0.0.1", port))
            return start
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()


class Node:
    """One machine of the fleet."""

    def __init__(self, name, store, zone="cph-a", memory_mb=110, log=None):
        first = free_ports(4)
        self.name = name
        self.memory_limit_mb = memory_mb
        self.ends = 0
        self.front, self.ready = first + 2, first + 3
        text = SETTINGS.format(
            name=name,
            zone=zone,
            first=first,
            last=first + 1,
            front=self.front,
            ready=self.ready,
            memory_mb=memory_mb,
            max_fds=MAX_FDS,
            store=store.address,
        )
        handle, self.file = tempfile.mkstemp(prefix=f"{name}-", suffix=".toml")
        with os.fdopen(handle, "w") as file:
            file.write(text)
        self.log = log
        self.process = None

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["DEWSPRING_NODE_FILE"] = self.file
        with open(self.log or os.devnull, "ab") as output:
            self.process = subprocess.Popen(
                [PROGRAM], env=env, cwd=ROOT, stdout=output, stderr=output, preexec_fn=limit_files
            )
        return self

    async def supervise(self, record):
        """Does what the platform does: ends a process that exceeds its memory, and
        starts an ended one again after a short delay."""
        while True:
            await asyncio.sleep(0.01)
            used = self.memory_mb()
            if used > self.memory_limit_mb:
                record(f"{self.name} uses {used:.1f} MB of {self.memory_limit_mb} and is killed")
                self.send_signal(signal.SIGKILL)
                self.process.wait()
            if self.has_ended():
                self.ends += 1
                record(f"{self.name} has ended, status {self.process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()

    async def wait_ready(self, timeout=15.0):
        deadline = asyncio.get_running_loop().time() + timeout
        while not await self.is_ready():
            if asyncio.get_running_loop().time() > deadline:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)
        return self

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
            answer = await asyncio.wait_for(wire.read_message(reader), 1.0)
            wire.abort(writer)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_mb(self):
        """Returns the resident memory of the process, in MB of 2^20 bytes."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def send_signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    def end(self):
        """Ends the process and removes its settings."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()
        if os.path.exists(self.file):
            os.remove(self.file)
