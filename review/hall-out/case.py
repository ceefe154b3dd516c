"""A hall that an operator is taking out is lost on the way, and comes back."""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
import standins as s

FRONTS = 3
ENGINES_PER_HALL = 4
LOST_SECONDS = 12
PLAY_SECONDS = 85
LEASE_MS = 1500


def play(case):
    record = case.record
    discovery = s.Discovery(record)
    engines = {}  # number: (hall, engine)
    for number in range(1, 2 * ENGINES_PER_HALL + 1):
        hall = "east" if number <= ENGINES_PER_HALL else "west"
        engines[number] = (hall, s.Engine(record, f"{hall} {number}"))
    west = {number: engine for number, (hall, engine) in engines.items() if hall == "west"}
    members = [s.member(number, engine.address, zone=hall) for number, (hall, engine) in engines.items()]
    ports = [s.free_port(socket.SOCK_DGRAM) for _ in range(FRONTS)]
    voters = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
    case.write("fleet.key", "the key of this case, long enough")
    for front in range(FRONTS):
        name = f"n{front}"
        stated = s.settings(balancers=FRONTS, my_number=front)
        case.write(f"{name}.json", s.start_file(name, "127.0.0.1:0", discovery.address, members, stated))
        case.write(
            f"{name}.toml",
            f'[front]\ntold = "{name}.json"\n[fleet]\nlisten = "127.0.0.1:{ports[front]}"\nkey_file = "fleet.key"\n'
            f'voters = [{voters}]\nvotes = true\nlease_ms = {LEASE_MS}\nfolder = "state-{front}"\n[fleet.sites]\n',
        )
        case.start(name, [s.LEMONUSHER, "run", case.path(f"{name}.toml")])
    addresses = [s.wait_for_front(case, f"n{front}") for front in range(FRONTS)]
    ending = threading.Event()

    def ask(front, number):
        client = s.Client(record, f"client {front}.{number}", addresses[front])
        calls = 0
        while not ending.is_set():
            calls += 1
            call = f"{front:02x}{number:02x}{calls:012x}"
            if client.ask("look-up", call, 5000, f"select * from sales_{calls % 40}.orders") is None:
                client = s.Client(record, f"client {front}.{number}", addresses[front])
            time.sleep(0.1)

    for front in range(FRONTS):
        for number in range(2):
            threading.Thread(target=ask, args=(front, number), daemon=True).start()

    def shown():
        """The plan's state of the west hall and its open part, as operators see it."""
        code, text = case.run("operator", [s.LEMONUSHER, "--json", "plan", case.path("n0.toml")])
        if code != 0 or not text.startswith("{"):
            return None
        return next((site for site in json.loads(text)["sites"] if site["site"] == "west"), None)

    def site(word):
        code, text = case.run("operator", [s.LEMONUSHER, "--json", "site", case.path("n0.toml"), "west", word])
        if code != 0:
            raise s.CannotRun(text)

    s.wait_until(lambda: (shown() or {}).get("state") == "Up", 25, "the plan is settled")
    s.wait_until(lambda: all(engine.count() for engine in west.values()), 20, "all of west's engines get work")
    site("out")
    told_out_at = record.now()
    s.wait_until(lambda: shown()["state"] == "Out", 15, "the plan takes west out")
    if s.TROUBLE:
        for engine in west.values():
            engine.die()
        time.sleep(LOST_SECONDS)
        for number, engine in west.items():
            engine.rise()
            discovery.tell(number, engine.address, 0, zone=1, started=int(time.time() * 1000))
    opened = []  # (time, state, open part), where the plan shows west as open beyond a trial, and not on its way out
    while record.now() < PLAY_SECONDS:
        seen_at, seen = record.now(), shown()
        if seen and seen["state"] in ("Returning", "Up"):
            opened.append((seen_at, seen["state"], seen["open"]))
        if opened and opened[-1][2] >= 0.75:
            break
        time.sleep(0.5)
    ending.set()
    if not opened:
        return []
    first = opened[0][0]
    received = sum(engine.count(first) for engine in west.values())
    most = max(part for _, _, part in opened)
    record.note("west", f"{received} requests received since {first:.3f}")
    if not received:
        return []
    return [
        f"west was told to be kept out at {told_out_at:.3f} and never told otherwise; since {first:.3f} the plan opened it "
        f"again, up to {most}, and its engines received {received} requests"
    ]


s.main(__file__, play)
