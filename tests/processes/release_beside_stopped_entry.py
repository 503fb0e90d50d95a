#!/usr/bin/env python3
"""Runs the real programs while engines of a newer software version join and prints
where streams went on that began there. Run by hand: release_beside_stopped_entry.py

For each of several pools in turn: one entry is stopped, and both followers of the
leading control instance as it reads of engines of a newer version, so that it can't
commit anything. If streams begin at these engines through the other entry, they break
off, the stopped entry goes on, and callers take them up there. Exits with 1 if one of
them went on at another version.
"""

import asyncio
import collections
import pathlib
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Engine, document, main, new_attempt, read_head,
                     read_request, route, service)

HOST = "desk.example"
POOLS = 8
CALLERS = 12
OLD, NEW = "v1", "v2"
STREAM_S, EVENT_GAP_S = 8.0, 0.02
BEGIN_S, TAKE_UP_S = 1.5, 2.5


class VersionedEngine(Engine):
    """Streams events that name its software version."""

    def __init__(self, run, number, pool, software):
        super().__init__(run, number, pool, slots=100)
        self.software = software
        self.is_listed = software == OLD
        self.writers = set()
        # Called when the owner reads the list with this engine for the first time.
        self.on_listed = None

    def list_entry(self):
        if self.on_listed is not None:
            on_listed, self.on_listed = self.on_listed, None
            on_listed()
        return super().list_entry() | {"Version": self.software}

    async def start(self):
        async def connection(reader, writer):
            self.writers.add(writer)
            try:
                while (request := await read_request(reader)) is not None:
                    attempt = request.headers.get("attempt-id", "")
                    if not attempt:
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        continue
                    await self.stream(attempt, int(request.headers.get("last-event-id", 0)),
                                      writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        self.server = await asyncio.start_server(connection, self.ip, self.port)
        self.run.servers.append(self.server)

    async def stream(self, attempt, last, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: 3e1b.{attempt}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(last + 1, last + 1 + round(STREAM_S / EVENT_GAP_S)):
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")

    def end(self):
        self.is_listed = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def read_stream(front, path, wanted, has_begun, headers=""):
    """Returns attempt, status, id of the last event and the versions of all events. Reads to
    the end at the wanted version, and a few events only at another one."""
    attempt = new_attempt()
    status, last, versions, writer = 0, 0, [], None
    try:
        host, port = front.listen["Frontend"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                     f"Deadline-Ms: 12000\r\n{headers}Content-Length: 1\r\n\r\nx".encode())
        line, _ = await read_head(reader)
        status = int(line.split()[1])
        while status == 200 and (len(versions) < 3 or versions[-1] == wanted):
            text = (await reader.readuntil(b"\n")).decode()
            if text.startswith("id: "):
                last = int(text[4:])
            elif text.startswith("data: "):
                versions.append(text[6:].strip())
                if versions[-1] == wanted:
                    has_begun.set()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return attempt, status, last, versions


def leader(run):
    """Returns the control instance that became leader last."""
    def last_line(node):
        text = (run.temp / f"{node.name}.log").read_text(errors="replace")
        return max((line for line in text.splitlines() if '"became_leader"' in line), default="")
    return max(run.cores, key=last_line)


async def play_pool(run, index, seen):
    stopped, other = run.fronts
    path = f"/p{index}/x"
    newer = [engine for engine in run.engines
             if engine.service == f"pool{index}" and engine.software == NEW]
    followers = [node for node in run.cores if node is not leader(run)]
    if run.trouble:
        stopped.signal(signal.SIGSTOP)
        # The leader keeps its lease for a moment, and can't commit anything.
        newer[0].on_listed = lambda: [node.signal(signal.SIGSTOP) for node in followers]
    for engine in newer:
        engine.is_listed = True
    begun, has_begun = 0, asyncio.Event()

    async def caller():
        """Begins a stream at the newer version and takes it up once it breaks off."""
        nonlocal begun
        end = time.monotonic() + TAKE_UP_S
        while time.monotonic() < end:
            attempt, status, last, versions = await read_stream(other, path, NEW, has_begun)
            if versions and set(versions) == {NEW}:
                begun += 1
                _, status, _, versions = await read_stream(
                    stopped, path, None, None,
                    f"Last-Event-Id: {last}\r\nResumes: {attempt}\r\n")
                seen["joined" if OLD in versions else "went on" if versions else status] += 1
                return
            await asyncio.sleep(0.02)

    callers = [asyncio.ensure_future(caller()) for _ in range(CALLERS)]
    try:
        await asyncio.wait_for(has_begun.wait(), BEGIN_S)
        await asyncio.sleep(4 * EVENT_GAP_S)
    except asyncio.TimeoutError:
        pass
    if run.trouble:
        stopped.signal(signal.SIGCONT)
    for engine in newer:
        engine.end()
    await asyncio.gather(*callers)
    seen["begun at the newer version"] += begun
    newer[0].on_listed = None
    if run.trouble:
        for node in followers:
            node.signal(signal.SIGCONT)
    await asyncio.sleep(5)


async def case(run):
    for index in range(POOLS):
        for software in (OLD, OLD, NEW, NEW):
            VersionedEngine(run, len(run.engines), f"pool{index}", software)
    await run.start()
    routes = [route(f"r{i}", HOST, f"/p{i}/", "streaming", f"pool{i}", timeout_ms=12000,
                    attempts=1) | {"Resumable": True} for i in range(POOLS)]
    services = [service(f"pool{i}", 500) for i in range(POOLS)]
    if await run.replace_config(document(3, services, routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    await asyncio.sleep(5)
    seen = collections.Counter()
    for index in range(POOLS):
        await play_pool(run, index, seen)
    print(dict(seen))
    if run.trouble and not seen["begun at the newer version"] and not seen["joined"]:
        print("no stream began at the newer version before it was committed")
    return BROKEN if seen["joined"] else HELD


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(case, folder, fronts=2))
