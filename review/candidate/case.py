"""Two managers make the same change at once; later one of them takes it back, and the other's next commit
makes it again."""

import os
import queue
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
import standins as s

STATE = "/front/pool[name=rack4]/admin-state"
GRACE_SECONDS = 2.0  # The drain grace of the deployment.


class Netconf:
    """A manager over NETCONF."""

    def __init__(self, case, address):
        self.record = case.record
        self.process = subprocess.Popen(
            [s.STAND_IN, "netconf", address], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
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

    def edit(self, front):
        return self.ask(
            "<edit-config><target><candidate/></target><config>"
            f'<front xmlns="urn:lemonusher:front">{front}</front></config></edit-config>'
        )


def play(case):
    record = case.record
    discovery = s.Discovery(record)
    engines = [s.Engine(record, f"engine {number + 1}") for number in range(2)]
    members = [s.member(number + 1, engine.address) for number, engine in enumerate(engines)]
    members[0]["cell"] = 4
    rack4 = engines[0]
    gnmi, netconf = f"127.0.0.1:{s.free_port()}", f"127.0.0.1:{s.free_port()}"
    case.write("n0.json", s.start_file("n0", "127.0.0.1:0", discovery.address, members, s.settings()))
    file = case.write(
        "n0.toml",
        '[front]\ntold = "n0.json"\n[managed]\nfolder = "state"\n'
        f'[managed.gnmi]\nlisten = "{gnmi}"\n[managed.netconf]\nlisten = "{netconf}"\n',
    )
    case.start("n0", [s.LEMONUSHER, "run", file])
    address = s.wait_for_front(case, "n0")

    def manager_b(*arguments):
        code, text = case.run("manager B", [s.LEMONUSHER, "--json", "--address", gnmi, *arguments])
        if code != 0:
            raise s.CannotRun(text)
        return text

    def ok(reply):
        if "<ok" not in reply:
            raise s.CannotRun(reply)

    manager_b("set", "/front/pool[name=rack4]", '{"name":"rack4","cell":[4],"admin-state":"draining"}')
    manager_a = Netconf(case, netconf)
    ok(manager_a.edit("<pool><name>rack4</name><admin-state>enabled</admin-state></pool>"))
    if s.TROUBLE:
        manager_b("set", STATE, "enabled")
    ok(manager_a.ask("<commit/>"))
    if "enabled" not in manager_b("get", STATE):
        raise s.CannotRun("rack4 is not enabled after both changes")

    ending = threading.Event()

    def ask():
        client = s.Client(record, "client", address)
        calls = 0
        while not ending.is_set():
            calls += 1
            client.ask("look-up", f"{calls:016x}", 5000, f"select * from sales_{calls % 40}.orders")
            time.sleep(0.02)

    clients = threading.Thread(target=ask, daemon=True)
    clients.start()
    s.wait_until(lambda: rack4.count() > 5, 10, "rack4's engine gets work")

    manager_b("set", STATE, "draining")
    drained_at = record.now()
    time.sleep(GRACE_SECONDS + 1)
    before = rack4.count(drained_at + GRACE_SECONDS)
    if before:
        raise s.CannotRun(f"{before} requests came after the drain, before the second commit")
    ok(manager_a.edit("<log-level>warn</log-level>"))
    reply = manager_a.ask("<commit/>")
    time.sleep(3)
    state = manager_b("get", STATE)
    manager_b("history")
    ending.set()
    clients.join(6)
    broken = []
    if "<ok" in reply and "draining" not in state:
        broken.append(f"manager A changed the log's level alone; manager B's drain of rack4 is undone: {state}")
    late = rack4.count(drained_at + GRACE_SECONDS)
    if late:
        broken.append(f"the engine of the drained pool received {late} new requests")
    return broken


s.main(__file__, play)
