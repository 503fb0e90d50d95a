#!/usr/bin/env python3
"""Runs the real programs before engines that all send bytes without end, and prints
whether a process ended and what other calls got. Run by hand:
endless_answers.py length|chunks|chunk|refusal

length:  a body with a length that it never reaches.
chunks:  a body in chunks without end.
chunk:   one chunk without end.
refusal: the body of a refusal, without end.

A hundred callers call these engines at one entry while one caller calls a sound
service. Exits with 1 if a process ended, or if the sound service was served less
than nine times in ten.
"""

import asyncio
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Client, Engine, document, main, new_attempt,
                     read_request, rss_mb, route, service)

HOST = "desk.example"
ENGINES = 3
CALLERS = 100
SECONDS = 20
PIECE = b"x" * 65536
BYTES_A_SECOND = 4_000_000


class EndlessEngine(Engine):
    """Answers health checks, and each call with a head and bytes without end."""

    def __init__(self, run, number, kind):
        super().__init__(run, number, "daftari", slots=1000)
        self.kind = kind

    async def start(self):
        async def connection(reader, writer):
            try:
                while True:
                    request = await read_request(reader)
                    if request is None:
                        break
                    attempt = request.headers.get("attempt-id", "")
                    if not attempt:
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        continue
                    writer.write(self.head(attempt))
                    while True:
                        writer.write(self.piece())
                        await writer.drain()
                        await asyncio.sleep(len(PIECE) / BYTES_A_SECOND)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        self.server = await asyncio.start_server(connection, self.ip, self.port)
        self.run.servers.append(self.server)

    def head(self, attempt):
        common = f"Attempt-Id: {attempt}\r\nServer-Stamp: 3e1b.{attempt}\r\n".encode()
        if self.kind == "refusal":
            return (b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + common +
                    b"Content-Length: 999999999\r\n\r\n")
        if self.kind == "length":
            return b"HTTP/1.1 200 OK\r\n" + common + b"Content-Length: 999999999\r\n\r\n"
        start = b"7fffffff\r\n" if self.kind == "chunk" else b""
        return (b"HTTP/1.1 200 OK\r\n" + common + b"Transfer-Encoding: chunked\r\n\r\n" +
                start)

    def piece(self):
        if self.kind != "chunks":
            return PIECE
        return b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"


async def caller(run, path, statuses, gap):
    while True:
        client = Client(run, run.fronts[0])
        status, _, _ = await client.call(
            "POST", path, {"Host": HOST, "Attempt-Id": new_attempt(),
                           "Deadline-Ms": "6000"}, b"x", timeout=8)
        statuses.append(status)
        client.close()
        await asyncio.sleep(gap)


async def case(run):
    kind = sys.argv[1]
    for number in range(ENGINES):
        EndlessEngine(run, number, kind)
    Engine(run, ENGINES, "sound")
    await run.start()
    routes = [route("bad", HOST, "/bad/", "non_idempotent", "daftari", attempts=1),
              route("good", HOST, "/good/", "idempotent", "sound", attempts=2)]
    services = [service("daftari", 1000), service("sound")]
    if await run.replace_config(document(3, services, routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    bad, good, most = [], [], 0
    run.tasks += [asyncio.ensure_future(caller(run, "/bad/1", bad, 0.05))
                  for _ in range(CALLERS)]
    run.tasks += [asyncio.ensure_future(caller(run, "/good/1", good, 0.05))]
    for _ in range(SECONDS * 10):
        await asyncio.sleep(0.1)
        most = max(most, rss_mb(run.fronts[0].process.pid))
    served = sum(status == 200 for status in good)
    ends = len(run.fronts[0].ends)
    print(f"{kind}: {len(bad)} calls ended, most memory {most:.0f} MB, entry ended "
          f"{ends} times; sound: {served} of {len(good)} served")
    return BROKEN if ends or served < 0.9 * len(good) or not good else HELD


if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in ("length", "chunks", "chunk", "refusal"):
        sys.exit(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(case, folder))
