"""Stand-ins and process control for the cases 6 to 10. Standard library only; loopback addresses only."""

import base64
import ctypes
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LEMONUSHER = os.path.join(ROOT, "target", "release", "lemonusher")
FRONT = os.path.join(ROOT, "target", "release", "lemonusher-front")
STAND_IN = os.path.join(ROOT, "target", "review-2", "release", "stand-ins-2")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_SECONDS = 118  # Of a script.
LIBC = ctypes.CDLL(None)


def end_with_script():
    """Runs in each new process: the system ends it if the script ends in whatever way."""
    LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class CannotRun(Exception):
    """The case could not be run, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of time. Written to a file line by line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def note(self, who, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {who:<12} {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, seconds, what):
    """Waits until the condition returns a true value, and returns it."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise CannotRun(f"not within {seconds} s: {what}")


class Case:
    """A temporary folder, the record, and every process that the case has started."""

    def __init__(self, script):
        self.folder = os.path.dirname(os.path.abspath(script))
        self.record = Record(os.path.join(self.folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    def path(self, name):
        return os.path.join(self.temp, name)

    def write(self, name, content):
        text = content if isinstance(content, str) else json.dumps(content)
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def start(self, name, command, env=None, before=None):
        """Starts a program of the project by the form of the deploy file: `exec PROGRAM`, from the root."""
        log = open(self.path(f"{name}.log"), "ab")

        def prepare():
            end_with_script()
            if before:
                before()

        process = subprocess.Popen(
            command, cwd=ROOT, env={**os.environ, **(env or {})}, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=prepare,
        )
        process.name = name
        self.processes.append(process)
        self.record.note(name, "started")
        return process

    def log_text(self, name):
        try:
            with open(self.path(f"{name}.log"), errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    def run(self, name, command, seconds=30):
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=seconds, preexec_fn=end_with_script
        )
        text = (done.stdout + done.stderr).strip()
        self.record.note(name, f"exit code {done.returncode}: {text}")
        return done.returncode, text

    def kill(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()
        self.record.note(process.name, "killed")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def main(script, play):
    """Plays a case. `play(case)` returns a list of what broke the rule, empty if it held."""
    case = Case(script)

    def stop(number, _frame):
        raise CannotRun(f"ended by {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LONGEST_SECONDS)
    try:
        broken = play(case)
        for line in broken:
            case.record.note("RULE BROKEN", line)
            print("rule broken:", line)
        if not broken:
            case.record.note("RULE HELD", "")
            print("rule held")
        code = BROKEN if broken else HELD
    except Exception as error:  # Whatever went wrong in the case itself says nothing about the rule.
        case.record.note("CAN'T RUN", repr(error))
        print("the case could not run:", repr(error))
        code = CANNOT_RUN
    finally:
        signal.alarm(0)
        case.end()
    sys.stdout.flush()
    os._exit(code)


# The settings of a small deployment: the example of the project's own, with the figures of card-results.


def settings(**changes):
    with open(os.path.join(ROOT, "docs", "front-example.json")) as file:
        example = json.load(file)["settings"]
    example.update(changes)
    return example


def member(engine, address, phase="Ready", zone="east", up_since_ms=0):
    return {
        "id": f"s-{engine:08x}", "host_port": address, "locality": zone, "flavor": "std", "cell": 0,
        "phase": phase, "size": 4, "up_since_ms": up_since_ms,
    }


def start_file(name, listen, channel, members, stated, sockets=1024):
    return {
        "name": name, "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "channel": channel,
        "known": {"cursor": 1, "cmds": [{"nodes": {"revision": 1, "complete": True, "members": members}}]},
        "settings": stated,
    }


class Discovery:
    """The command channel: tells later events to whoever asks, and an empty one each second."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.events = []  # (number, kind, payload)
        self.last = 1
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            asked = b""
            while len(asked) < 8:
                part = connection.recv(8 - len(asked))
                if not part:
                    return
                asked += part
            known = struct.unpack(">Q", asked)[0]
            told_at = 0.0
            while True:
                with self.lock:
                    due = [event for event in self.events if event[0] > known]
                    last = self.last
                for number, kind, payload in due:
                    connection.sendall(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                    known = number
                if time.monotonic() - told_at > 1.0:
                    connection.sendall(struct.pack(">IQB", 9, max(last, known), 0))
                    told_at = time.monotonic()
                time.sleep(0.02)
        except OSError:
            pass
        finally:
            connection.close()

    def tell(self, engine, address, state, zone=0, started=0):
        host, port = address.split(":")
        payload = struct.pack(">I4sHBBBHIQ", engine, socket.inet_aton(host), int(port), state, zone, 0, 0, 1000, started)
        with self.lock:
            self.last += 1
            self.events.append((self.last, 2, payload))
        self.record.note("channel", f"engine {engine:08x} state {state}")


class Engine:
    """A query engine. Each request runs for the time that `work(queue)` says and returns one row."""

    def __init__(self, record, name, work=lambda queue: 0.02):
        self.record, self.name, self.work = record, name, work
        self.lock = threading.Lock()
        self.received = []  # (time, id, queue)
        self.connections = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def die(self):
        """Ends like a process that dies: connections are reset, and new ones are refused."""
        self.record.note(self.name, "dies")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def rise(self):
        """Listens again at the same address."""
        port = int(self.address.split(":")[1])
        self.listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self.record.note(self.name, "is up again")
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def count(self, since=0.0):
        with self.lock:
            return sum(1 for at, _, _ in self.received if at >= since)

    def serve(self, connection):
        stream = connection.makefile("rb")
        writing = threading.Lock()
        open_here = {}

        def send(data):
            try:
                with writing:
                    connection.sendall(data)
            except OSError:
                pass

        def finish(request, queue, seconds):
            if open_here.pop(request, None) is None:
                return
            row = f"{request}\t{queue}\tdone\n".encode()
            head = f"{request} HIT effort={seconds * 1000:.3f},high=10 {len(row)}\r\n".encode()
            self.record.note(self.name, f"ended {request}")
            send(head + row + b"\r\n")

        try:
            while True:
                line = stream.readline()
                if not line:
                    break
                words = line.decode().split()
                if words[0] == "serve":
                    request, fields, length = words[1], words[2], int(words[3])
                    stream.read(length + 2)
                    queue = dict(field.split("=", 1) for field in fields.split(","))["queue"]
                    with self.lock:
                        self.received.append((self.record.now(), request, queue))
                    self.record.note(self.name, f"received {request} ({queue})")
                    seconds = self.work(queue)
                    open_here[request] = True
                    timer = threading.Timer(seconds, finish, (request, queue, seconds))
                    timer.daemon = True
                    timer.start()
                elif words[0] == "cancel":
                    if open_here.pop(words[1], None) is not None:
                        self.record.note(self.name, f"cancelled {words[1]}")
                elif words[0] == "read":
                    send(f"{words[1]} FAULT - 0\r\n\r\n".encode())
                elif words[0] in ("health", "gauges"):
                    report = "use=busy:0.1" if words[0] == "gauges" else "-"
                    send(f"{words[1]} PONG {report} 0\r\n\r\n".encode())
        except (OSError, ValueError):
            pass
        finally:
            for request in list(open_here):
                if open_here.pop(request, None) is not None:
                    self.record.note(self.name, f"gave up {request}: connection closed")
            self.connections.discard(connection)
            stream.close()
            connection.close()


class Client:
    """A client of a front with one connection."""

    def __init__(self, record, name, address, seconds=5.0):
        self.record, self.name = record, name
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")
        self.next_id = 0

    def send(self, queue, call, ttl_ms, statement="select 1"):
        self.next_id += 1
        params = {"call": call, "ttl": ttl_ms, "data": base64.b64encode(statement.encode()).decode()}
        message = {"jsonrpc": "2.0", "id": self.next_id, "method": queue, "params": params}
        self.record.note(self.name, f"sends {call} ({queue}, ttl {ttl_ms})")
        self.socket.sendall(json.dumps(message).encode() + b"\n")
        return self.next_id

    def answer(self, seconds):
        """The next answer; None if none comes in time or the connection ends."""
        self.socket.settimeout(seconds)
        try:
            line = self.stream.readline()
        except OSError:
            return None
        if not line:
            return None
        answer = json.loads(line)
        self.record.note(self.name, f"answer {answer}")
        return answer

    def ask(self, queue, call, ttl_ms, statement="select 1"):
        self.send(queue, call, ttl_ms, statement)
        return self.answer(ttl_ms / 1000 + 0.55)

    def close(self):
        self.socket.close()


def wait_for_front(case, name, seconds=20):
    """The address at which a front listens, from its log."""

    def listens():
        for line in case.log_text(name).splitlines():
            if "listens on " in line:
                return line.split("listens on ")[1].split(",")[0]
        return None

    return wait_until(listens, seconds, f"{name} listens")
