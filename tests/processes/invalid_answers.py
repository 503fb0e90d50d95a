#!/usr/bin/env python3
"""Runs the real programs before three engines, one of which answers half of its
requests with a head that is not valid HTTP, and prints what callers got. Run by hand:
invalid_answers.py idempotent|non_idempotent|streaming

The status is invalid (too few or too many digits, a sign, a letter, below 100, above
599, an interim one as the final one), or a header field is malformed. Exits with 1
if such a head reached a caller, if a refusal followed an answer, or if a process ended.
"""

import asyncio
import collections
import itertools
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Engine, document, main, new_attempt,
                     read_request, route, service)

HOST = "desk.example"
CALLERS, SECONDS = 24, 20
KINDS = ("idempotent", "non_idempotent", "streaming")
STATUSES = ["000", "0", "00", "2", "20", "2x0", "20x", "x00", "-200", "+200", "001", "099",
            "600", "999", "1000", "2000", "0200", "101", "102", "103", "200200", "2 00", ""]
FIELDS = ["Bad Name: x", ": x", "Content-Length: 4", "Content-Length: +2",
          "Content-Length: 2, 2", "Content-Length: 0x2", "Transfer-Encoding: gzip, chunked"]
ALLOWED = {200, 502, 504}


class InvalidEngine(Engine):
    """Answers each second call with a head that is not valid HTTP."""

    def __init__(self, run, number, kind, is_troubled):
        super().__init__(run, number, "daftari", slots=100)
        self.kind, self.is_troubled = kind, is_troubled
        self.heads = itertools.cycle([(status, "") for status in STATUSES] +
                                     [("200", field) for field in FIELDS])
        self.count = self.spoilt = 0

    async def start(self):
        async def connection(reader, writer):
            try:
                while (request := await read_request(reader)) is not None:
                    attempt = request.headers.get("attempt-id", "")
                    if not attempt:
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        continue
                    self.count += 1
                    status, field = "200", ""
                    if self.is_troubled and self.count % 2 == 0:
                        self.spoilt += 1
                        status, field = next(self.heads)
                    writer.write(self.answer_bytes(attempt, status, field))
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        self.server = await asyncio.start_server(connection, self.ip, self.port)
        self.run.servers.append(self.server)

    def answer_bytes(self, attempt, status, field):
        head = (f"HTTP/1.1 {status} Text\r\nAttempt-Id: {attempt}\r\n"
                f"Server-Stamp: 3e1b.{attempt}\r\n" + (f"{field}\r\n" if field else ""))
        if self.kind == "streaming":
            body = "id: 1\ndata: x\n\n"
            return (head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    f"\r\n{len(body):x}\r\n{body}\r\n0\r\n\r\n").encode()
        return (head + "Content-Length: 2\r\n\r\nok").encode()


async def call(front):
    """Returns the status line's second word, as it came; "closed" without one."""
    host, port = front.listen["Frontend"].split(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"POST /work/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {new_attempt()}\r\n"
                      "Deadline-Ms: 6000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx").encode())
        answer = await asyncio.wait_for(reader.read(), 8)
    except (OSError, asyncio.TimeoutError):
        return "closed", b""
    finally:
        if writer is not None:
            writer.close()
    return (answer.split(b" ")[1].decode() if b" " in answer else "closed"), answer


async def case(run):
    kind = sys.argv[1]
    engines = [InvalidEngine(run, number, kind, number == 0) for number in range(3)]
    await run.start()
    routes = [route("work", HOST, "/work/", kind, "daftari", attempts=2)]
    if await run.replace_config(document(3, [service("daftari", 1000)], routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    seen, foreign = collections.Counter(), 0

    async def caller():
        nonlocal foreign
        while True:
            status, answer = await call(run.fronts[0])
            seen[status] += 1
            foreign += b"Bad Name" in answer or b"gzip" in answer
            await asyncio.sleep(0.05)

    run.tasks += [asyncio.ensure_future(caller()) for _ in range(CALLERS)]
    await asyncio.sleep(SECONDS)
    ends = sum(len(front.ends) for front in run.fronts)
    strange = {status: count for status, count in seen.items()
               if not status.isdigit() or int(status) not in ALLOWED}
    print(f"{kind}: {sum(seen.values())} calls, {engines[0].spoilt} spoilt answers, callers got "
          f"{dict(seen)}, malformed fields {foreign}, processes ended {ends}")
    if engines[0].spoilt < 2 * len(STATUSES):
        return NOT_RUN
    return BROKEN if strange or foreign or ends else HELD


if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in KINDS:
        sys.exit(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(case, folder))
