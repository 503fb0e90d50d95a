#!/usr/bin/env python3
"""Runs the real programs before upstreams that write a rejection once more, late,
where the next answer on the connection is due. Run by hand:
repeated_rejections.py [CASE [SEED [ENTRIES]]]

restarts:   upstreams start anew with other ids at their addresses, and the list
            shows the former ids for two more seconds. A call that was sent to a
            former id was once tried again on the connection on which it had just
            been rejected; the copy of that rejection counted as a proof that it
            had not run, while it ran.
rejections: upstreams reject two calls in five. The copies come before the answers
            to other calls, which once failed.

Exits with 1 if a call ran that was refused with a promise that it had not, if one
ran twice, or if calls failed whose upstream answered them.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time
import tomllib
import types

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness
from harness import (BROKEN, HELD, NOT_RUN, Client, Engine, document, main, new_attempt,
                     read_request, route, service)

HOST = "desk.example"
POOL = "daftari"
PROMISES = (408, 421, 429, 503)
CASES = ("restarts", "rejections")
ENTRIES = 3
ENGINES = 2
CLIENTS = 24
RUN_S = 12
# A busy machine takes long to elect a leader.
START_S = 45
REJECTED_SHARE = 0.4
COPY_SHARE = 0.5
LIFE_S = (0.6, 1.5)
LISTED_AFTER_END_S = 2.0


class CopyingEngine(Engine):
    """Repeats the last rejection of a connection when the next request has come
    there, and answers that request afterwards."""

    def __init__(self, run, number, rejected_share):
        super().__init__(run, number, POOL, slots=64)
        self.rejected_share = rejected_share
        self.copies = 0
        # Attempts by call that came to this address.
        self.arrivals = collections.Counter()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, self.ip, self.port, reuse_address=True, limit=1 << 20)
        self.run.servers.append(self.server)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        rejection = None
        try:
            while True:
                request = await read_request(reader)
                self.arrivals[request.headers.get("attempt-id", "")] += 1
                if rejection is not None and random.random() < COPY_SHARE:
                    self.copies += 1
                    writer.write(rejection)
                    await writer.drain()
                rejection = None
                status, headers, body = await self.answer(request)
                answer = self.bytes_of(status, headers, body)
                if status in (421, 503):
                    rejection = answer
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def bytes_of(status, headers, body):
        headers = {"Content-Type": "application/json",
                   "Content-Length": str(len(body)), **headers}
        return f"HTTP/1.1 {status} X\r\n".encode() + b"".join(
            f"{k}: {v}\r\n".encode() for k, v in headers.items()) + b"\r\n" + body

    async def execute(self, request):
        if random.random() < self.rejected_share:
            return 503, {"Attempt-Id": request.headers.get("attempt-id", ""),
                         "Not-Executed": "1", "Instance-Load": self.load()}, b"full"
        return await super().execute(request)

    async def live(self):
        """Starts anew again and again, with other ids at the same address."""
        while True:
            await asyncio.sleep(random.uniform(*LIFE_S))
            former = json.dumps(self.list_entry()).encode()
            self.run.foreign_entries.append(former)
            asyncio.get_running_loop().call_later(
                LISTED_AFTER_END_S, self.run.foreign_entries.remove, former)
            self.id = f"i-{random.getrandbits(32):08x}"
            self.born = int(time.time() * 1000)
            for writer in list(self.writers):
                writer.transport.abort()


async def send_calls(run, statuses):
    while True:
        client = Client(run, random.choice(run.fronts))
        for _ in range(8):
            attempt = new_attempt()
            status, _, _ = await client.call(
                "POST", "/pay/1",
                {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}, b"x",
                timeout=4)
            statuses[attempt] = status
            await asyncio.sleep(random.random() * 0.1)
            if status <= 0:
                break
        client.close()


async def play(run, case):
    share = REJECTED_SHARE if case == "rejections" else 0.0
    engines = [CopyingEngine(run, number, share) for number in range(ENGINES)]
    await run.start()
    routes = [route("pay", HOST, "/pay/", "non_idempotent", POOL, attempts=2)]
    accepted = await run.replace_config(document(3, [service(POOL)], routes), START_S) == 200
    if not accepted or not await run.wait_ready(START_S):
        return NOT_RUN
    statuses = {}
    if case == "restarts":
        run.tasks += [asyncio.ensure_future(engine.live()) for engine in engines]
    run.tasks += [asyncio.ensure_future(send_calls(run, statuses))
                  for _ in range(CLIENTS)]
    await asyncio.sleep(RUN_S)
    return judge(run, case, dict(statuses))


def judge(run, case, statuses):
    runs = collections.Counter(
        attempt for engine in run.engines for attempt, *_ in engine.runs)
    refused = [a for a, status in statuses.items() if status in PROMISES]
    ran = [a for a in refused if runs[a]]
    twice = [a for a, count in runs.items() if count > 1]
    failed = [a for a, status in statuses.items() if status in (502, 504)]
    copies = sum(engine.copies for engine in run.engines)
    print(f"{case}: {len(statuses)} calls, {copies} copies; {len(refused)} refused, "
          f"{len(ran)} of these ran; {len(twice)} ran twice; {len(failed)} failed")
    twice_there = sum(attempt != "" and count > 1 for engine in run.engines
                      for attempt, count in engine.arrivals.items())
    if copies == 0 or not statuses or (case == "restarts" and twice_there == 0):
        return NOT_RUN
    # An upstream that starts anew breaks off the calls in progress.
    lost = len(failed) if case == "rejections" else 0
    return BROKEN if ran or twice or lost else HELD


def use_built_programs():
    """Lets the harness start the programs of scripts/build."""

    def deploy_file(text):
        deploy = tomllib.loads(text)
        for role, fields in deploy["roles"].items():
            fields["run"] = str(ROOT / "build" / f"celeryspread-platform-{role}")
        return deploy

    harness.tomllib = types.SimpleNamespace(loads=deploy_file)


if __name__ == "__main__":
    if sys.argv[1:] == ["--list"]:
        print("\n".join(CASES))
        sys.exit(0)
    case = sys.argv[1] if len(sys.argv) > 1 else CASES[0]
    if case not in CASES:
        sys.exit(__doc__)
    random.seed(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else ENTRIES
    use_built_programs()
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(lambda run: play(run, case), folder, fronts=entries))
