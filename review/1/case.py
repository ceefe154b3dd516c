"""A load is pushed back by one processor, runs by the word of another, and is retried at the first. See claim.txt."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from proxies import HttpEngine, Proxy, send_lookups, start_processors
from standins import run_case

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FIRST_LOADS = 0.8  # seconds that the loads take for which the third one has to wait
LOAD = 0.4  # seconds that the third one takes
WAIT = 1.0  # after which its client comes back
ROUNDS = 6


async def main(folder, record):
    random.seed(3)
    engines = [HttpEngine(n + 1, record) for n in range(2)]
    for engine in engines:
        await engine.start()
    fronts, processors = await start_processors(2, engines, "closed", folder, record)
    broken = pushed_back = 0
    try:
        if len(processors) < 2:
            return 2
        own = f"127.0.0.1:{engines[0].port}"
        # Two proxies share the processors; the second takes them in turn.
        proxy, other = Proxy(processors[:1], False, record), Proxy([processors[1], processors[0]], False, record)
        lookups = asyncio.ensure_future(send_lookups(Proxy(processors, False, record), own))
        for number in range(ROUNDS):
            record.line(f"--- round {number}")
            first = [asyncio.ensure_future(proxy.request(f"first-{number}-{n}", FIRST_LOADS, own)) for n in range(2)]
            await asyncio.sleep(0.15)
            # Both engines hold the data set: a third load of it has to wait, and is pushed back in time.
            batch = f"third-{number}"
            status, history = await proxy.request(batch, LOAD, own)
            record.line(f"client: load {batch}: {status} {history[-1] if history else ''}")
            pushed_back += history == ["pushed-back"]
            await asyncio.gather(*first)
            await asyncio.sleep(WAIT)
            # Trying again is harmless, so the client does, through another proxy.
            if TROUBLE:
                for engine in engines:
                    engine.breaks.add(batch)
            other.turn = 0
            status, history = await other.request(batch, LOAD, own, repeat=True)
            for engine in engines:
                engine.breaks.discard(batch)
            runs = sum(len(engine.ran.get(batch, [])) for engine in engines)
            record.line(f"client: load {batch}: {status}; attempts: {', '.join(history)}; it ran {runs} times")
            if runs > 1 or history[:1] == ["verdict"] and "verdict" in history[1:]:
                broken += 1
                record.line(f"BROKEN: {batch} must not run twice; it may have run, and got a second verdict")
            if history[:1] == ["verdict"] and "pushed-back" in history[1:]:
                broken += 1
                record.line(f"BROKEN: {batch} may have run, and its client is told that trying again is harmless")
            await asyncio.sleep(0.3)
        lookups.cancel()
        if any(front.process.poll() is not None for front in fronts):
            record.line("a processor has ended by itself")
        print(f"{broken} of {ROUNDS} loads in doubt got a second verdict or a pushback; {pushed_back} were pushed back first")
        if not pushed_back:
            return 2
        return 1 if broken else 0
    finally:
        for front in fronts:
            front.end()
            record.line(f"processor {front.name} ended")


run_case(main, FOLDER)
