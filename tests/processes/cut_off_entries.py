#!/usr/bin/env python3
"""Runs the real programs while some entries are cut off from all engines for ten
seconds; callers, control instances and the other entries still reach them. Each
caller tries each call once. First tries at the entries that were cut off once
failed for as long as the cut lasted, though other entries could serve them.
Run by hand: cut_off_entries.py [CASE [SEED [ENTRIES]]]

hang:         connections pass nothing, and new ones get no answer. Calls once waited
              for the engines until they failed. What was sent before the cut arrives
              after it, also if the entry has given up by then.
reset:        connections are reset, and new ones too. Calls once failed at once.
refuse:       connections live on, but new ones are reset. Guards against taking an
              entry that can still serve on kept connections for one that can't.
whole_domain: reset, for all entries of one failure domain. Guards against handing
              calls only to entries of the same domain.

A forwarder before each engine makes the cut. All connections come from 127.0.0.1, so
it learns from the kernel whether an entry that is cut off holds the other end, which
is only known once the connection is accepted. So "refuse" and "reset" let a connect
succeed and reset it before a byte is passed on, where a real refusal fails the connect
(ECONNREFUSED); "hang" accepts and passes nothing on, where a real one leaves the SYN
without an answer. An entry must therefore take a call that it wrote to such a
connection for one that may have run, which is harder than the real cut.

Exits with 1 if the share of served first tries, from ContactMs after the cut began to
its end, is under two thirds of that at the other entries and over 10 + 1 in 50 of all
first tries failed there; or if a non_idempotent call ran twice, or ran and was refused
with a promise that it had not.
"""

import asyncio
import collections
import os
import pathlib
import random
import socket
import struct
import sys
import tempfile
import time
import tomllib
import types

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness
from harness import (BOUNDS, BROKEN, HELD, NOT_RUN, Client, Engine, document, main,
                     new_attempt, route, serve_http, service)

HOST = "desk.example"
POOL = "daftari"
PROMISES = (408, 421, 429, 503)
KINDS = ("non_idempotent", "idempotent")
CASES = ("hang", "reset", "refuse", "whole_domain")
ENTRIES = 8
CUT_OFF_ENTRIES = 3
ENGINES = 6
CALLERS = 48
CALM_S = 3
CUT_S = 10
# A busy machine takes long to elect a leader.
START_S = 45
DEADLINE_MS = 4000
PAUSE_S = (0.1, 0.3)
# Below this share at the other entries the comparison would say nothing.
LEAST_SHARE_OF_OTHERS = 0.9

Call = collections.namedtuple("Call", "attempt kind entry sent_at ended_at status")


def inode_of(connected_from, connected_to):
    """The inode of the connecting end of a connection on this machine; 0 if it is
    closed. Asks for this one socket (sock_diag), as /proc/net/tcp lists all."""
    (near_ip, near_port), (far_ip, far_port) = connected_from, connected_to
    # AF_INET, TCP, any state; unused halves of the addresses, any cookie.
    query = (struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF) +
             struct.pack("!HH4s12x4s12x", near_port, far_port,
                         socket.inet_aton(near_ip), socket.inet_aton(far_ip)) +
             struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF))
    sock_diag_by_family, request_flag, netlink_sock_diag = 20, 1, 4
    head = struct.pack("=IHHII", 16 + len(query), sock_diag_by_family, request_flag, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, netlink_sock_diag) as kernel:
        kernel.settimeout(1)
        kernel.send(head + query)
        answer = kernel.recv(4096)
    kind = struct.unpack_from("=H", answer, 4)[0]
    if kind == sock_diag_by_family:
        return struct.unpack_from("=I", answer, 84)[0]
    error = -struct.unpack_from("=i", answer, 16)[0]
    if error != 2:  # ENOENT: closed.
        raise RuntimeError(f"sock_diag: {os.strerror(error)}")
    return 0


def holds(process, inode):
    folder = f"/proc/{process.pid}/fd"
    for name in os.listdir(folder):
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except FileNotFoundError:
            pass
    return False


class Cut:
    """Which entries are cut off, how, and whether now."""

    def __init__(self, kind, entries):
        self.kind, self.entries = kind, entries
        self.links = set()
        self.whole = asyncio.Event()
        self.whole.set()
        self.met = set()

    def is_on(self):
        return not self.whole.is_set()

    def begin(self):
        self.whole.clear()
        if self.kind == "reset":
            for link in list(self.links):
                self.met.add(link)
                link.reset()

    def end(self):
        self.whole.set()


class Link:
    """Forwards one connection to an engine, as the cut allows."""

    def __init__(self, cut, reader, writer, engine):
        self.cut, self.reader, self.writer, self.engine = cut, reader, writer, engine
        self.far_writer = None

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def abort(self):
        self.writer.transport.abort()
        if self.far_writer is not None:
            self.far_writer.transport.abort()

    def caller_inode(self):
        return inode_of(self.writer.get_extra_info("peername"),
                        (self.engine.ip, self.engine.port))

    async def forward(self):
        inode = self.caller_inode()
        is_cut_off = inode != 0 and any(
            node.is_running() and holds(node.process, inode) for node in self.cut.entries)
        if inode == 0:
            self.abort()
            return
        if is_cut_off and self.cut.is_on():
            self.cut.met.add(self)
            if self.cut.kind != "hang":
                self.reset()
                return
            await self.cut.whole.wait()
            # A SYN that is sent again gets through, one that was given up does not.
            if self.writer.is_closing() or self.caller_inode() != inode:
                self.abort()
                return
        if is_cut_off:
            self.cut.links.add(self)
        try:
            far_reader, self.far_writer = await asyncio.open_connection(
                self.engine.inner_ip, self.engine.port)
            await asyncio.gather(
                self.pump(self.reader, self.far_writer, is_cut_off),
                self.pump(far_reader, self.writer, is_cut_off))
        except OSError:
            self.abort()
        finally:
            self.cut.links.discard(self)

    async def pump(self, reader, writer, is_cut_off):
        while data := await reader.read(65536):
            await self.hold(is_cut_off)
            writer.write(data)
            await writer.drain()
        await self.hold(is_cut_off)
        writer.close()

    async def hold(self, is_cut_off):
        if is_cut_off and self.cut.kind == "hang" and self.cut.is_on():
            self.cut.met.add(self)
            await self.cut.whole.wait()


class LinkedEngine(Engine):
    def __init__(self, run, number, cut):
        super().__init__(run, number, POOL, slots=64)
        self.cut = cut
        self.inner_ip = run.address()

    async def start(self):
        self.server = await serve_http(self.inner_ip, self.port, self.answer)
        self.run.servers.append(self.server)
        self.run.servers.append(await asyncio.start_server(
            self.connection, self.ip, self.port, reuse_address=True))

    async def connection(self, reader, writer):
        await Link(self.cut, reader, writer, self).forward()


async def send_calls(run, calls, end):
    while time.monotonic() < end:
        kind, entry = random.choice(KINDS), random.choice(run.fronts)
        attempt = new_attempt()
        client = Client(run, entry)
        sent_at = time.monotonic()
        status, _, _ = await client.call(
            "POST", f"/{kind}/1",
            {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(DEADLINE_MS)}, b"x",
            timeout=DEADLINE_MS / 1000 + 1)
        client.close()
        calls.append(Call(attempt, kind, entry, sent_at, time.monotonic(), status))
        await asyncio.sleep(random.uniform(*PAUSE_S))


def entries_to_cut(run, case):
    if case != "whole_domain":
        return random.sample(run.fronts, min(CUT_OFF_ENTRIES, len(run.fronts) - 1))
    zone = random.choice(run.fronts).zone
    return [node for node in run.fronts if node.zone == zone]


async def play(run, case):
    cut = Cut("reset" if case == "whole_domain" else case, entries_to_cut(run, case))
    for number in range(ENGINES):
        LinkedEngine(run, number, cut)
    await run.start()
    routes = [route(kind, HOST, f"/{kind}/", kind, POOL, attempts=2) for kind in KINDS]
    accepted = await run.replace_config(document(3, [service(POOL)], routes), START_S)
    if accepted != 200 or not await run.wait_ready(START_S):
        print(f"{case}: no deployment to run on; configuration answered {accepted}")
        return NOT_RUN
    calls = []
    cut_at = time.monotonic() + CALM_S
    cut_end = cut_at + CUT_S
    callers = [asyncio.ensure_future(send_calls(run, calls, cut_end))
               for _ in range(CALLERS)]
    run.tasks += callers
    await asyncio.sleep(CALM_S)
    cut.begin()
    await asyncio.sleep(max(0, cut_end - time.monotonic()))
    cut.end()
    await asyncio.gather(*callers)
    # What a cut held up may still run.
    await asyncio.sleep(1)
    return judge(run, case, cut, calls, cut_at, cut_end)


def served_share(calls):
    return sum(call.status == 200 for call in calls) / len(calls)


def judge(run, case, cut, calls, cut_at, cut_end):
    from_s = cut_at + BOUNDS["ContactMs"] / 1000
    late = [call for call in calls if from_s <= call.sent_at < cut_end]
    at_cut_off = [call for call in late if call.entry in cut.entries]
    at_others = [call for call in late if call.entry not in cut.entries]
    before = [call for call in calls if call.sent_at < cut_at - 1]
    runs = collections.Counter(
        attempt for engine in run.engines for attempt, *_ in engine.runs)
    once = [call for call in calls if call.kind == "non_idempotent"]
    ran = [call for call in once if call.status in PROMISES and runs[call.attempt]]
    twice = [call for call in once if runs[call.attempt] > 1]
    if not at_cut_off or not at_others or not before or not cut.met:
        print(f"{case}: {len(calls)} calls, {len(cut.met)} connections met the cut: "
              "nothing to compare")
        return NOT_RUN
    share, share_of_others = served_share(at_cut_off), served_share(at_others)
    failed = collections.Counter(
        call.status for call in at_cut_off if call.status != 200)
    after_cut = sum(call.status == 200 and call.ended_at > cut_end for call in at_cut_off)
    allowed = 10 + len(late) / 50
    print(f"{case}: {len(cut.entries)} of {len(run.fronts)} entries cut off, "
          f"{len(cut.met)} connections met it; served {share:.0%} of {len(at_cut_off)} first "
          f"tries there ({after_cut} after the cut), {share_of_others:.0%} of "
          f"{len(at_others)} at the others, {served_share(before):.0%} of {len(before)} "
          f"before; {failed.total()} failed there, {allowed:.0f} allowed "
          f"{dict(failed)}; {len(ran)} refused ones ran, {len(twice)} ran twice")
    if ran or twice:
        return BROKEN
    if share < share_of_others * 2 / 3 and failed.total() > allowed:
        return BROKEN
    return HELD if share_of_others >= LEAST_SHARE_OF_OTHERS else NOT_RUN


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
