"""Case 9: an accepted change names a pool twice; after a kill the front does not start again."""

import json
import os
import queue
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
import standins as s

READY_SECONDS = 30


class Netconf:
    """A manager over NETCONF."""

    def __init__(self, case, address):
        self.record = case.record
        self.process = subprocess.Popen(
            [s.STAND_IN, "netconf", address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=s.end_with_script,
        )
        self.process.name = "manager A"
        case.processes.append(self.process)
        self.lines = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()
        if self.next() != "ready":
            raise s.CannotRun("no NETCONF session")

    def read(self):
        for line in self.process.stdout:
            self.lines.put(line.strip())

    def next(self):
        try:
            return self.lines.get(timeout=10)
        except queue.Empty:
            raise s.CannotRun("no reply over NETCONF")

    def ask(self, operation):
        self.record.note("manager A", f"asks {operation}")
        self.process.stdin.write(operation + "\n")
        self.process.stdin.flush()
        reply = self.next()
        self.record.note("manager A", f"reply {reply}")
        return reply


def play(case):
    record = case.record
    discovery = s.Discovery(record)
    engine = s.Engine(record, "engine 1")
    gnmi, netconf = f"127.0.0.1:{s.free_port()}", f"127.0.0.1:{s.free_port()}"
    members = [s.member(1, engine.address)]
    case.write("n0.json", s.start_file("n0", "127.0.0.1:0", discovery.address, members, s.settings()))
    file = case.write(
        "n0.toml",
        '[front]\ntold = "n0.json"\n[managed]\nfolder = "state"\n'
        f'[managed.gnmi]\nlisten = "{gnmi}"\n[managed.netconf]\nlisten = "{netconf}"\n',
    )
    front = case.start("n0", [s.LEMONUSHER, "run", file])
    s.wait_for_front(case, "n0")

    def manager_b(*arguments):
        return case.run("manager B", [s.LEMONUSHER, "--json", "--address", gnmi, *arguments])

    def configuration():
        code, text = manager_b("get", "/front/pool")
        return sorted(text.splitlines()) if code == 0 else None

    if manager_b("set", "/front/pool[name=rack9]", '{"name":"rack9","cell":[9],"admin-state":"draining"}')[0] != 0:
        raise s.CannotRun("the first pool is not taken")
    # The value was copied from the other pool, and its name was left as it is.
    code, _ = manager_b("set", "/front/pool[name=rack4]", '{"name":"rack9","cell":[4],"admin-state":"draining"}')
    if code != 0:
        record.note("manager B", "the second change is refused: nothing was acknowledged that could be lost")
    manager_a = Netconf(case, netconf)
    reply = manager_a.ask("<copy-config><target><startup/></target><source><running/></source></copy-config>")
    if "<ok" not in reply:
        raise s.CannotRun(reply)
    acknowledged = configuration()
    if not acknowledged:
        raise s.CannotRun("no configuration")
    if s.TROUBLE:
        case.kill(front)
        started_at = len(case.log_text("n0"))
        front = case.start("n0", [s.LEMONUSHER, "run", file])
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until and front.poll() is None:
            if "listens on " in case.log_text("n0")[started_at:]:
                break
            time.sleep(0.05)
        log = case.log_text("n0")[started_at:].strip()
        record.note("n0", f"log since the start: {log}")
        if front.poll() is not None:
            return [f"the front does not start again, exit code {front.returncode}: {log.splitlines()[-1]}"]
        if "listens on " not in log:
            return [f"the front is not ready within {READY_SECONDS} s"]
    found = configuration()
    if found != acknowledged:
        return [f"acknowledged: {acknowledged}; found: {found}"]
    return []


s.main(__file__, play)
