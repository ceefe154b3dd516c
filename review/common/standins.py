"""Small stand-ins for the platform: command channel, query engines and clients, as PROTOCOL.md describes them.

One asyncio loop serves all of them. Every address is on loopback. All times are Unix seconds.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY, DRAINING, GONE = 0, 1, 2
STATE_NAMES = ["Ready", "Terminating", "Gone"]


LONGEST = 112  # seconds after which a case is ended; a script may run for 120
STARTED = []  # all processes that this script has started
LIBC = ctypes.CDLL(None)


def end_with_script():
    """Runs in each new process: the system ends it if this script ends in whatever way, SIGKILL included."""
    LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


async def run_command_line(*arguments):
    """Runs a command of the operators to its end. Returns the exit code and what it printed."""
    process = await asyncio.create_subprocess_exec(
        *[str(argument) for argument in arguments], stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        preexec_fn=end_with_script)
    try:
        out, error = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    return process.returncode, out.decode(), error.decode()


def run_case(main, folder):
    """Runs `main(temporary folder, record)`, ends all processes that it started, and exits with its code."""
    async def guarded(temporary, record):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LONGEST):
            return await main(temporary, record)

    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        record = Record(folder)
        try:
            code = asyncio.run(guarded(temporary, record))
        except (Exception, asyncio.CancelledError) as error:  # The case couldn't run.
            record.line(f"{type(error).__name__}: {error}")
            traceback.print_exc()
        finally:
            for process in STARTED:
                if process.poll() is None:
                    process.kill()  # also ends a stopped process
                process.wait()
            record.line(f"all {len(STARTED)} processes that were started have ended; exit code {code}")
            record.close()
    sys.exit(code)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.time()

    def line(self, text, at=None):
        self.file.write(f"{(at or time.time()) - self.start:9.3f}  {text}\n")

    def close(self):
        self.file.close()


def run_command():
    """The command `run` of the deploy file."""
    import tomllib

    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


class Front:
    """One real front, started by the deploy file's command, or by the given one."""

    def __init__(self, name, folder, config, record, command=None):
        self.name, self.record = name, record
        self.config_path = Path(folder) / f"{name}.json"
        self.address = config["listen"]
        self.config = config
        self.write_config()
        environment = {**os.environ, "PROXY_NAME": name, "PROXY_LISTEN": self.address,
                       "PROXY_CONFIG": str(self.config_path), "RUST_LOG": os.environ.get("RUST_LOG", "info"),
                       "TMPDIR": str(folder)}
        self.log = open(Path(folder) / f"{name}.log", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command or run_command()], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log, preexec_fn=end_with_script)
        STARTED.append(self.process)
        record.line(f"front {name} started, process {self.process.pid}")

    def write_config(self):
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self.config_path)

    def signal(self, number):
        at = time.time()
        self.process.send_signal(number)
        self.record.line(f"front {self.name}: {signal.Signals(number).name}", at)
        return at

    def end(self):
        if self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
        self.process.wait()
        self.log.close()


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Channel:
    """The command channel. Each event is written to all connected fronts at once."""

    def __init__(self, engines, zones, kinds, record):
        self.zones, self.kinds, self.record = zones, kinds, record
        self.events = []  # (number, kind, payload)
        self.last = 1
        self.known = {"cursor": 1, "cmds": [{"nodes": {
            "revision": 1, "complete": True, "members": [self.member(engine) for engine in engines]}}]}
        self.writers = set()

    def member(self, engine):
        return {"id": f"s-{engine.id:08x}", "host_port": f"127.0.0.1:{engine.port}",
                "locality": self.zones[engine.zone], "flavor": self.kinds[engine.kind], "cell": engine.cell,
                "phase": STATE_NAMES[engine.state], "size": engine.cores, "up_since_ms": engine.started_ms}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.ticker = asyncio.ensure_future(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(1)
            self.broadcast(self.frame(self.last, 0, b""))

    @staticmethod
    def frame(number, kind, payload):
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    async def serve(self, reader, writer):
        try:
            have = struct.unpack(">Q", await reader.readexactly(8))[0]
            for number, frame in self.events:
                if number > have:
                    writer.write(frame)
            self.writers.add(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def broadcast(self, data):
        for writer in list(self.writers):
            writer.write(data)

    def tell(self, engines):
        """Tells a change of these engines. Returns the time before the bytes went out."""
        self.last += 1
        payload = b""
        for engine in engines:
            payload += struct.pack(">I4BHBBBHIQ", engine.id, 127, 0, 0, 1, engine.port, engine.state,
                                   engine.zone, engine.kind, engine.cell, engine.cores * 1000,
                                   engine.started_ms)
        frame = self.frame(self.last, 2, payload)
        self.events.append((self.last, frame))
        at = time.time()
        self.broadcast(frame)
        for engine in engines:
            engine.told[engine.state] = time.time()
            self.record.line(f"command channel: event {self.last}: engine {engine.id:08x} is "
                             f"{STATE_NAMES[engine.state]}", at)
        return at


class Run:
    """One attempt that has come to an engine."""

    def __init__(self, request, group, begun, threads):
        self.request, self.group, self.begun, self.threads = request, group, begun, threads
        self.task = None


class Lag:
    """The longest time for which this program itself was late."""

    def __init__(self):
        self.most = 0.0

    async def watch(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.most = max(self.most, time.monotonic() - before - 0.01)


class Engine:
    """A query engine: it runs all that it is sent at once; work slows down once its cores are taken."""

    notes_every = 0  # seconds between notes of progress
    tells_cost = True
    sessions_per_core = 8

    def __init__(self, number, zone, kind, cores, groups, record, started_ms=0):
        self.id, self.zone, self.kind, self.cores = number, zone, kind, cores
        self.cell, self.state, self.started_ms = number % 4, READY, started_ms
        self.groups, self.record = groups, record
        self.port = None
        self.told = {}
        self.attempts = []  # (first byte, request, group)
        self.running = {}
        self.writers = set()
        self.dead = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self):
        self.dead = True
        self.server.close()
        for run in self.running.values():
            run.task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.line(f"engine {self.id:08x} has died")

    def load(self):
        threads = sum(run.threads for run in self.running.values())
        return f"util:{min(1, threads / self.cores):.2f};inflight:{len(self.running)};" \
               f"x1:{min(1, threads / self.cores / 2):.2f};x0:{min(1, threads / self.cores / 3):.2f}"

    async def serve(self, reader, writer):
        import socket

        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        mine = []
        try:
            while not self.dead:
                line = await reader.readuntil(b"\r\n")
                at = time.time()
                words = line[:-2].decode().split(" ")
                if words[0] == "serve":
                    request, fields, length = words[1], words[2], int(words[3])
                    statement = (await reader.readexactly(length + 2))[:-2].decode()
                    fields = dict(field.split("=", 1) for field in fields.split(","))
                    mine.append(request)
                    self.begin(request, fields, statement, at, writer)
                elif words[0] == "cancel":
                    self.record.line(f"engine {self.id:08x}: cancel {words[1]}", at)
                    run = self.running.pop(words[1], None)
                    if run:
                        run.task.cancel()
                elif words[0] == "read":
                    writer.write(f"{words[1]} FAULT - 0\r\n\r\n".encode())
                elif words[0] in ("health", "gauges"):
                    writer.write(f"{words[1]} PONG use={self.load()} 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            for request in mine:
                run = self.running.pop(request, None)
                if run:
                    run.task.cancel()
            writer.close()

    def work_of(self, group, statement):
        """The work of a batch on one thread, in seconds."""
        return group["work_ms"] / 1000 * random.lognormvariate(-0.18, 0.6)

    def begin(self, request, fields, statement, at, writer):
        group = self.groups[fields["queue"]]
        if len(self.running) >= self.sessions_per_core * self.cores:
            self.record.line(f"engine {self.id:08x}: SHED {request}", at)
            writer.write(f"{request} SHED use={self.load()} 0\r\n\r\n".encode())
            return
        self.attempts.append((at, request, fields["queue"]))
        self.record.line(f"engine {self.id:08x}: serve {request} {fields['queue']} budget {fields['budget']}", at)
        work = self.work_of(group, statement)
        run = Run(request, fields["queue"], at, group["threads"])
        self.running[request] = run
        run.task = asyncio.ensure_future(self.work(run, work, writer))

    async def work(self, run, work, writer):
        whole = left = work / run.threads
        note = time.time() + self.notes_every
        while left > 0:
            if self.notes_every and time.time() >= note and not writer.is_closing():
                note += self.notes_every
                share = f"detail=advance,figure={1 - left / whole:.3f}"
                writer.write(f"{run.request} INFO {share} 0\r\n\r\n".encode())
            threads = sum(other.threads for other in self.running.values())
            pace = min(1, self.cores / max(threads, 1))
            step = min(left / pace, 0.05)
            await asyncio.sleep(step)
            left -= step * pace
        self.running.pop(run.request, None)
        if writer.is_closing():
            return
        body = f"{run.request}\tdone\t1\n".encode()
        cost = f"effort={work * 1000:.0f},high=100," if self.tells_cost else ""
        fields = f"fetches=1,{cost}use={self.load()}"
        try:
            writer.write(f"{run.request} HIT {fields} {len(body)}\r\n".encode() + body + b"\r\n")
            self.record.line(f"engine {self.id:08x}: HIT {run.request}")
        except ConnectionError:
            pass


class Client:
    """A client with one connection to a front."""

    def __init__(self, front, record):
        self.front, self.record = front, record
        self.next_id = 0
        self.open = {}  # id -> (request, group, sent)
        self.answers = {}  # request -> list of (time, kind)
        self.sent = {}  # request -> (time, group, time-out)

    async def connect(self):
        host, port = self.front.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.reading = asyncio.ensure_future(self.read())
        return self

    def send(self, group, timeout_ms, table_group=1, request=None, statement=None, extra=None):
        self.next_id += 1
        request = request or f"{random.getrandbits(64):016x}"
        statement = statement or f"select a, b, c from sales_{table_group}.orders"
        params = {"call": request, "ttl": timeout_ms, "data": base64.b64encode(statement.encode()).decode()}
        params.update(extra or {})
        message = {"jsonrpc": "2.0", "id": self.next_id, "method": group, "params": params}
        at = time.time()
        self.writer.write(json.dumps(message).encode() + b"\n")
        self.open[self.next_id] = request
        self.sent[request] = (at, group, timeout_ms)
        self.record.line(f"client of {self.front.name}: {group} {request} time-out {timeout_ms} ms", at)
        return request

    def revoke(self, request):
        """The client stops waiting. Returns the time at which it has gone, None if it has its answer."""
        number = next((number for number, open_request in self.open.items() if open_request == request), None)
        if number is None:
            return None
        del self.open[number]
        self.writer.write(json.dumps({"jsonrpc": "2.0", "method": "revoke", "params": {"id": number}}).encode() + b"\n")
        at = time.time()
        self.record.line(f"client of {self.front.name}: has left {request}", at)
        return at

    async def read(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line:
                    return
                at = time.time()
                message = json.loads(line)
                request = self.open.pop(message.get("id"), None)
                kind = "returned" if "result" in message else \
                    ("pushed back" if message["error"]["code"] == -32002 else "errored")
                self.answers.setdefault(request, []).append((at, kind))
                self.record.line(f"client of {self.front.name}: {request} {kind}", at)
        except (ConnectionError, asyncio.CancelledError):
            pass

    def close(self):
        self.writer.close()


async def wait_ready(front, seconds=20):
    """Waits until the front answers a heartbeat with fit."""
    host, port = front.address.rsplit(":", 1)
    until = time.time() + seconds
    while time.time() < until:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{}}\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            if line and json.loads(line).get("result", {}).get("fit"):
                return
        except (ConnectionError, asyncio.TimeoutError, json.JSONDecodeError):
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError("a front was not ready in time")
