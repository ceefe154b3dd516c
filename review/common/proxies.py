"""Stand-ins for external processing: proxies that call a processor, HTTP engines, and the start of the processors."""

import asyncio
import random
import time
from pathlib import Path

from ext_proc import Processor, Verdict, request_headers, response_headers
from standins import Channel, Front, free_port

MESSAGE_TIMEOUT = 0.2  # message_timeout_ms, the proxies' too


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
    """A proxy as docs/external-processor.md asks for it: it retries once after a reset, with an attempt count and the
    ticket of the verdict, and takes its processors in turn."""

    def __init__(self, processors, fails_open, record):
        self.processors, self.fails_open, self.record = processors, fails_open, record
        self.turn = 0

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

    async def request(self, batch, work, own_engine, group="load", table_group=7, attempts=2, repeat=False):
        """Returns what the client gets, and for each attempt how it was sent or answered."""
        token, history = None, []
        for attempt in range(1, attempts + 1):
            number = self.turn % len(self.processors)
            self.turn += 1
            processor = self.processors[number]
            stream = processor.open()
            headers = [(":method", "POST"), (":path", "/"), ("x-request-id", batch), ("x-service-group", group),
                       ("x-table-group", str(table_group)),
                       ("x-envoy-expected-rq-timeout-ms", "20000" if group == "load" else "5000"),
                       ("x-envoy-attempt-count", str(attempt))]
            if repeat:
                headers.append(("x-repeat", "1"))
            if token:
                headers.append(("x-lemonusher-ticket", token))
            processor.send(stream, request_headers(headers))
            self.record.line(f"proxy: {group} {batch}, attempt {attempt}: asks processor {processor.name}")
            try:
                message = await asyncio.wait_for(processor.streams[stream].get(), MESSAGE_TIMEOUT)
            except asyncio.TimeoutError:
                message = None
            if message is None:
                processor.reset(stream)
                if not self.fails_open:
                    self.record.line(f"proxy: {group} {batch}, attempt {attempt}: no verdict in time")
                    return 504, history
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
                details = None if status else "upstream_reset_before_response_started{connection_termination}"
                processor.send(stream, response_headers([(":status", str(status or 503))], details))
                await asyncio.sleep(0.02)
                processor.finish(stream)
            self.record.line(f"proxy: {group} {batch}, attempt {attempt}: {status or 'reset'}")
            if status:
                return status, history
            await asyncio.sleep(0.025)  # the proxy's usual wait before a retry
        return 503, history


def settings(number, count):
    names = [("look-up", "safe", 5, 1000000), ("report", "safe", 20, 3000000), ("load", "unsafe", 20, 4000000)]
    return {
        "areas": ["east-hall", "west-hall"], "kinds": ["std-8"], "balancers": count, "my_number": number,
        "zone": number % 2, "tick_us": 5000, "discovery": "pushed", "client_habits": {"marks_retry": True},
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


async def start_processors(count, engines, fails, folder, record):
    """Starts processors as `lemonusher run`, and connects to each. Returns their processes and their connections."""
    channel = Channel(engines, ["east-hall", "west-hall"], ["std-8"], record)
    await channel.start()
    (Path(folder) / "tickets.key").write_text("a key of this deployment")
    fronts, processors, ports = [], [], []
    for number in range(count):
        ports.append(free_port())
        operator = Path(folder) / f"processor-{number}.toml"
        operator.write_text(
            f"[front]\ntold = 'n{number}.json'\n[processor]\nlisten = '127.0.0.1:{ports[number]}'\n"
            f"message_timeout_ms = {int(MESSAGE_TIMEOUT * 1000)}\nfails = '{fails}'\nrecovers = false\n"
            "key_file = 'tickets.key'\n")
        config = {"name": f"n{number}", "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "channel": channel.address,
                  "known": channel.known, "settings": settings(number, count)}
        fronts.append(Front(f"n{number}", folder, config, record, f"exec target/release/lemonusher run {operator}"))
    until = time.time() + 20
    while len(processors) < count:
        try:
            processor = await Processor().connect("127.0.0.1", ports[len(processors)])
            processor.name = f"n{len(processors)}"
            processors.append(processor)
        except ConnectionError:
            if time.time() > until:
                break
            await asyncio.sleep(0.1)
    return fronts, processors
