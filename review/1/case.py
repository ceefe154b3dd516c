"""A processor stands still while a call waits for its verdict; the proxy goes on without one. See claim.txt."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from ext_proc import Processor, Verdict, request_headers, response_headers
from standins import Channel, Front, Record, free_port

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MESSAGE_TIMEOUT = 0.2  # message_timeout_ms, the proxy's too
STILL = 1.5  # the pages: 1.5 to 2 s
FIRST_LOADS = 1.0  # seconds that the first two loads take
LOAD = 1.7  # seconds that the third one takes
ROUNDS = 6


class HttpEngine:
    """A query engine behind a proxy: it runs what it is sent, and answers when that is done."""

    def __init__(self, number, record):
        self.id, self.zone, self.kind, self.cell, self.cores, self.state = number, number % 2, 0, 0, 8, 0
        self.started_ms, self.told, self.record = 0, {}, record
        self.ran = {}  # batch -> times
        self.breaks = set()  # batches whose connection is reset once they have run

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            batch = headers["x-request-id"]
            self.ran.setdefault(batch, []).append(time.time())
            self.record.line(f"engine {self.id:08x}: runs {batch} ({headers['x-by']})")
            await asyncio.sleep(float(headers["x-work"]))
            if batch in self.breaks:
                self.breaks.discard(batch)
                self.record.line(f"engine {self.id:08x}: {batch} has run; the connection is reset")
                writer.transport.abort()
                return
            self.record.line(f"engine {self.id:08x}: {batch} has run")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Proxy:
    """A proxy that fails open and retries once after a reset, as docs/external-processor.md asks of it."""

    def __init__(self, processor, engines, record):
        self.processor, self.engines, self.record = processor, engines, record

    async def dispatch(self, address, batch, work, by):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"POST / HTTP/1.1\r\nx-request-id: {batch}\r\nx-work: {work}\r\nx-by: {by}\r\n\r\n".encode())
            line = await reader.readline()
            return int(line.split()[1]) if line else None
        except ConnectionError:
            return None
        finally:
            writer.close()

    async def request(self, batch, work, own_engine, group="load", table_group=7, attempts=2):
        """Returns what the client gets, and whether a run was by a verdict, for each attempt."""
        token, history = None, []
        for attempt in range(1, attempts + 1):
            stream = self.processor.open()
            headers = [(":method", "POST"), (":path", "/"), ("x-request-id", batch), ("x-service-group", group),
                       ("x-table-group", str(table_group)),
                       ("x-envoy-expected-rq-timeout-ms", "20000" if group == "load" else "5000"),
                       ("x-envoy-attempt-count", str(attempt))]
            if token:
                headers.append(("x-lemonusher-ticket", token))
            self.processor.send(stream, request_headers(headers))
            self.record.line(f"proxy: {group} {batch}, attempt {attempt}: asks the processor")
            try:
                message = await asyncio.wait_for(self.processor.streams[stream].get(), MESSAGE_TIMEOUT)
            except asyncio.TimeoutError:
                message = None
            if message is None:
                self.processor.reset(stream)
                self.record.line(f"proxy: {group} {batch}, attempt {attempt}: no verdict in time; goes on without one")
                history.append("own")
                status = await self.dispatch(own_engine, batch, work, "the proxy's own cluster")
            else:
                verdict = Verdict(message)
                if verdict.status is not None:
                    outcome = verdict.headers.get("x-lemonusher-outcome")
                    self.record.line(f"proxy: {group} {batch}, attempt {attempt}: {verdict.status} {outcome}")
                    history.append(outcome)
                    return verdict.status, history
                token = verdict.headers.get("x-lemonusher-ticket")
                address = verdict.headers["x-envoy-original-dst-host"]
                self.record.line(f"proxy: {group} {batch}, attempt {attempt}: the verdict is to send it to {address}")
                history.append("verdict")
                status = await self.dispatch(address, batch, work, "by verdict")
                if status:
                    self.processor.send(stream, response_headers([(":status", str(status))]))
                    await asyncio.sleep(0.02)
                    self.processor.finish(stream)
                else:
                    self.processor.reset(stream)
            self.record.line(f"proxy: {group} {batch}, attempt {attempt}: {status or 'reset'}")
            if status:
                return status, history
            await asyncio.sleep(0.025)  # the proxy's usual wait before a retry
        return 503, history


def settings(number):
    names = [("look-up", "safe", 5, 1000000), ("report", "safe", 20, 3000000), ("load", "unsafe", 20, 4000000)]
    return {
        "areas": ["east-hall", "west-hall"], "kinds": ["std-8"], "balancers": 2, "my_number": number, "zone": number,
        "tick_us": 5000, "discovery": "pushed", "client_habits": {"marks_retry": True},
        "ceilings": {"cancel": True, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "max_attempts": 4,
                     "max_retry_after_us": 2000000, "open_cap": 1000, "probes": True, "retry_after": True,
                     "second_copies": False, "streams_per_conn": 32},
        "classes": [{"name": name, "aim_us": aim, "aim_stretch": 2, "hard_limit_us": limit * 1000000,
                     "effect": effect, "points": 10, "late_value": 0.4} for name, effect, limit, aim in names],
        "family_info": {"class_load": [False, False, True], "class_threads": [1, 4, 2],
                        "yields_to_loads": [True, True, False], "cpu_of_kind": [8], "memory_by_kind_mb": [16384],
                        "lanes_count": True, "takes_grants": True, "note_period_us": 1000000, "says_cost": True},
        "obligations": {"cold_from": 0.34, "cold_us": 14000000, "drain_grace_us": 2000000, "fall_multiple": 3,
                        "tip_after_us": 1500000},
        "report": {"fields": ["busy"], "via": "on_probe"},
    }


async def send_lookups(proxy, own_engine):
    """A proxy's look-ups, one after another."""
    number = 0
    while True:
        await asyncio.sleep(random.expovariate(5))
        number += 1
        await proxy.request(f"look-up-{number}", 0.1, own_engine, "look-up", random.randrange(20, 40))


async def main(folder, record):
    random.seed(3)
    engines = [HttpEngine(n + 1, record) for n in range(2)]
    for engine in engines:
        await engine.start()
    channel = Channel(engines, ["east-hall", "west-hall"], ["std-8"], record)
    await channel.start()
    (Path(folder) / "tickets.key").write_text("a key of this deployment")
    fronts, ports, processors = [], [], []
    broken = waited = 0
    try:
        for number in range(2):
            ports.append(free_port())
            operator = Path(folder) / f"processor-{number}.toml"
            operator.write_text(
                f"[front]\ntold = 'n{number}.json'\n[processor]\nlisten = '127.0.0.1:{ports[number]}'\n"
                f"message_timeout_ms = {int(MESSAGE_TIMEOUT * 1000)}\nfails = 'open'\nrecovers = false\n"
                "key_file = 'tickets.key'\n")
            config = {"name": f"n{number}", "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f30d27a5be964",
                      "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "channel": channel.address,
                      "known": channel.known, "settings": settings(number)}
            fronts.append(Front(f"n{number}", folder, config, record, f"exec target/release/lemonusher run {operator}"))
        until = time.time() + 20
        while len(processors) < 2:
            try:
                processors.append(await Processor().connect("127.0.0.1", ports[len(processors)]))
            except ConnectionError:
                if time.time() > until:
                    return 2
                await asyncio.sleep(0.1)
        front, processor = fronts[0], processors[0]
        # The other processor serves another proxy, and is left alone.
        other = Proxy(processors[1], engines, record)
        lookups = asyncio.ensure_future(send_lookups(other, f"127.0.0.1:{engines[1].port}"))
        proxy = Proxy(processor, engines, record)
        own = f"127.0.0.1:{engines[0].port}"
        for number in range(ROUNDS):
            record.line(f"--- round {number}")
            first = [asyncio.ensure_future(proxy.request(f"first-{number}-{n}", FIRST_LOADS, own)) for n in range(2)]
            await asyncio.sleep(0.15)
            # Both engines hold the data set: a third load of it has to wait.
            batch = f"third-{number}"
            engines[0].breaks.add(batch)
            third = asyncio.ensure_future(proxy.request(batch, LOAD, own))
            await asyncio.sleep(0.03)
            if TROUBLE:
                front.signal(signal.SIGSTOP)
            await asyncio.sleep(STILL)
            if TROUBLE:
                front.signal(signal.SIGCONT)
            status, history = await third
            await asyncio.gather(*first)
            engines[0].breaks.discard(batch)
            runs = sum(len(engine.ran.get(batch, [])) for engine in engines)
            record.line(f"client: load {batch}: {status}; attempts: {', '.join(history)}; it ran {runs} times")
            waited += history[0] != "verdict"
            if "own" in history and "verdict" in history[history.index("own") + 1:]:
                broken += 1
                record.line(f"BROKEN: {batch} must not run twice; it was in doubt and got a verdict all the same")
            if "own" in history and "pushed-back" in history:
                broken += 1
                record.line(f"BROKEN: {batch} may have run, and its client is told that trying again is harmless")
            await asyncio.sleep(0.3)
        lookups.cancel()
        if any(front.process.poll() is not None for front in fronts):
            record.line("a processor has ended by itself")
        print(f"{broken} of {ROUNDS} loads in doubt got a second verdict or a pushback; {waited} had to wait")
        if not waited:
            return 2
        return 1 if broken else 0
    finally:
        for front in fronts:
            front.end()
            record.line(f"processor {front.name} ended")


with tempfile.TemporaryDirectory(prefix="review-") as temporary:
    record = Record(FOLDER)
    code = 2
    try:
        code = asyncio.run(main(temporary, record))
    except Exception as error:  # The case couldn't run.
        record.line(f"{type(error).__name__}: {error}")
        traceback.print_exc()
    finally:
        record.close()
sys.exit(code)
