"""Starts the programs of the deploy file on loopback, with stand-ins for the platform."""

import asyncio
import json
import os
import pathlib
import random
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"dar-a": "dar", "arusha-a": "arusha", "mwanza-a": "mwanza"}
REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


CONTACT_S = 4.0


def free_ports(hosts, count):
    """Returns ports that are free at all the hosts; they are all held until they are chosen."""
    held, ports = [], []
    try:
        while len(ports) < count:
            first = socket.socket()
            held.append(first)
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    held.append(socket.socket())
                    held[-1].bind((host, port))
                ports.append(port)
            except OSError:
                continue
        return ports
    finally:
        for probe in held:
            probe.close()


def lookup(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)]
        elif isinstance(value, dict) and key in value:
            value = value[key]
        else:
            return None
    return value


def render(text, fields):
    def replace(match):
        path, _, as_json = match.group(1).partition("|")
        value = lookup(fields, path)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", replace, text)


class Node:
    def __init__(self, lab, name, role, fields):
        self.lab, self.name, self.role, self.fields = lab, name, role, fields
        self.process, self.ends, self.peak = None, [], 0.0

    def start(self):
        deploy = self.lab.deploy["roles"][self.role]
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text(render((ROOT / deploy["template"]).read_text(), self.fields))
        env = {"PATH": os.environ["PATH"], "HOME": str(self.lab.folder), "LANG": "C",
               "CELERYSPREAD_CONFIG": str(path)}
        log = open(self.lab.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(deploy["run"].split(), cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started_at = self.lab.disturbed_at = time.monotonic()

    def signal(self, number):
        self.process.send_signal(number)

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.fields["Bootstrap"] = False
        self.lab.disturbed_at = time.monotonic()

    def memory_mb(self, key="VmRSS"):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith(key + ":"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = [line.partition(":")[::2] for line in lines[1:] if line]
    return lines[0], {name.strip().lower(): value.strip() for name, value in headers}


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reply(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
             f"Content-Length: {len(body)}", *[f"{k}: {v}" for k, v in headers], "", ""]
    return "\r\n".join(lines).encode() + body


class Request:
    def __init__(self, line, headers, body):
        self.method, self.path = line.split()[:2]
        self.headers, self.body = headers, body
        self.attempt = headers.get("attempt-id", "")


class Engine:
    """A sound engine of a plain service or with models; subclasses change run()."""

    def __init__(self, lab, service, models=None, slots=8, zone="dar-a", version="v1"):
        self.lab, self.service, self.slots, self.zone = lab, service, slots, zone
        self.version, self.models = version, models
        self.id = "i-" + secrets.token_hex(4)
        self.host = lab.engine_host
        self.state, self.seq, self.running = "ready", 0, 0
        self.fence, self.born = 0, int(time.time() * 1000)
        self.connections = set()
        self.arrivals = []
        self.server = self.port = None
        lab.engines.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def description(self):
        entry = {"Id": self.id, "Service": self.service, "Address": f"{self.host}:{self.port}",
                 "Zone": self.zone, "Version": self.version, "Slots": self.slots,
                 "State": self.state, "ColdLeftMs": 0, "born": self.born}
        if self.models is not None:
            entry["Phase"] = "colocated"
            entry["Models"] = [{"Name": m, "Version": 1, "Adapters": []} for m in self.models]
        return entry

    def load(self):
        return ("Instance-Load", f"{self.running},0,{self.slots}")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(line, headers, await read_body(reader, headers))
                if not await self.handle(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(reply(421, b"", [("Attempt-Id", request.attempt)]))
            return True
        if request.path == "/api/report":
            body = {"Phase": "colocated", "Models": self.description().get("Models", []),
                    "Busy": False, "Seq": self.seq, "Waiting": 0, "Running": self.running,
                    "KvUsed": 0, "KvTotal": 90000, "Handles": 0}
            writer.write(reply(200, json.dumps(body).encode()))
            return True
        if request.path == "/healthz":
            writer.write(reply(200, b"", [("Instance-Id", self.id), self.load()]))
            return True
        if request.path == "/api/order":
            status = self.carry_out(json.loads(request.body))
            self.lab.note("order", engine=self.id, status=status)
            writer.write(reply(status))
            return True
        if self.running >= self.slots:
            self.lab.note("full", engine=self.id, attempt=request.attempt)
            writer.write(reply(503, b"", [("Attempt-Id", request.attempt), ("Not-Executed", "1"),
                                          self.load()]))
            return True
        self.lab.note("arrive", engine=self.id, attempt=request.attempt, path=request.path)
        self.arrivals.append(request.attempt)
        self.running += 1
        try:
            return await self.run(request, reader, writer)
        finally:
            self.running -= 1

    def carry_out(self, order):
        """Carries out an order at once. Returns the status of the answer."""
        if "Holder" not in order or "Fence" not in order or self.models is None:
            return 400
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        if order.get("Expect", self.seq) != self.seq:
            return 409
        is_load = order["Op"] == "load"
        if (order["Model"] in self.models) == is_load:
            return 200
        self.seq += 1
        (self.models.append if is_load else self.models.remove)(order["Model"])
        return 202

    def stamp(self, request):
        return [("Attempt-Id", request.attempt), ("Server-Stamp", f"{self.id}.{request.attempt}"),
                self.load()]

    async def run(self, request, reader, writer):
        self.lab.ran(self, request)
        writer.write(reply(200, b"ok " + request.attempt.encode(), self.stamp(request)))
        await writer.drain()
        return True

    async def start_stream(self, request, writer):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *[f"{k}: {v}" for k, v in self.stamp(request)], "", ""]
        writer.write("\r\n".join(lines).encode())

    @staticmethod
    def chunk(data):
        return b"%x\r\n" % len(data) + data + b"\r\n"


class Lab:
    def __init__(self, folder, record=None, cores=3, entries=1, memory=(260, 256), bounds=None,
                 net=None):
        self.folder = pathlib.Path(folder)
        self.record = open(record, "w") if record else None
        self.begun = self.disturbed_at = time.monotonic()
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        net = net or f"127.{random.randrange(10, 200)}.{random.randrange(1, 250)}"
        self.net = net
        self.engine_host = f"{net}.200"
        self.engines, self.runs, self.list_reads = [], {}, 0
        hosts = [f"{net}.{1 + i}" for i in range(cores)] + \
                [f"{net}.{50 + i}" for i in range(entries)]
        ports = dict(zip(("front", "ready", "wire", "op"), free_ports(hosts, 4)))
        self.ports = ports
        self.platform_port = None
        names = list(ZONES)
        self.cores, self.entries = [], []
        seeds = [f"{net}.{1 + i}:{ports['op']}" for i in range(cores)][:3]
        self.base = {"Zones": ZONES, "Seeds": seeds, "Bootstrap": True,
                     "PortRange": [ports["wire"], ports["wire"]],
                     "FaultTolerance": {"Machines": (cores - 1) // 2, "Zones": 0, "Regions": 0},
                     "Bounds": {"ContactMs": 4000, "AckMs": 5000, "DrainMs": 4000, "GraceS": 8,
                                "ConfigApplyMs": 3000, "RetryRatio": 0.2, "RetryWindowS": 10,
                                "RetrySlack": 56, "Fencing": True, "LeaseMs": 3000,
                                "ThawMs": 300, "CeilingWindowS": 5, "CeilingOverage": 1.1,
                                **(bounds or {})}}
        for i in range(cores):
            self.cores.append(self.make(f"core-{i + 1}", "control", f"{net}.{1 + i}",
                                        names[i % 3], memory[1]))
        for i in range(entries):
            self.entries.append(self.make(f"frontend-{i + 1}", "entry", f"{net}.{50 + i}",
                                          names[i % 3], memory[0]))

    def make(self, name, role, ip, zone, memory):
        fields = dict(self.base)
        fields.update({"NodeName": name, "Zone": zone, "Region": ZONES[zone], "Ip": ip,
                       "Limits": {"MemoryMb": memory}})
        if role == "control":
            data = self.folder / f"data-{name}"
            fields["Listen"] = {"ControlPlane": f"{ip}:{self.ports['op']}"}
            fields["DataDir"] = str(data)
        else:
            fields["Listen"] = {"Frontend": f"{ip}:{self.ports['front']}",
                                "Ready": f"{ip}:{self.ports['ready']}"}
        node = Node(self, name, role, fields)
        node.ip = ip
        return node

    def note(self, what, **fields):
        if self.record:
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self.record.write(f"{time.monotonic() - self.begun:8.3f} {what} {text}\n")

    def ran(self, engine, request):
        self.runs.setdefault(request.attempt, []).append(engine.id)
        self.note("run", engine=engine.id, attempt=request.attempt)

    async def serve_platform(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                self.list_reads += 1
                body = {"Instances": self.instances(), "Next": None}
                writer.write(reply(200, json.dumps(body).encode(),
                                   [("Content-Type", "application/json")]))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def instances(self):
        return [e.description() for e in self.engines if e.state != "gone"]

    async def start(self):
        server = await asyncio.start_server(self.serve_platform, f"{self.net}.100", 0)
        port = server.sockets[0].getsockname()[1]
        for node in self.cores + self.entries:
            node.fields["CloudApi"] = {"Address": f"{self.net}.100:{port}", "RatePerS": 44.0}
        for engine in self.engines:
            await engine.start()
        for node in self.cores + self.entries:
            node.start()

    def stop(self):
        for node in self.cores + self.entries:
            if node.is_up():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if self.record:
            self.record.close()

    async def call(self, host, port, method, path, headers=(), body=b"", timeout=5.0):
        """Returns (status, headers, body); status 0 for a connection without an answer."""
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1", *[f"{k}: {v}" for k, v in headers],
                     f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            line, answer = await read_head(reader)
            return int(line.split()[1]), answer, await read_body(reader, answer)
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return 0, {}, b""
        finally:
            if writer is not None:
                writer.close()

    async def operate(self, method, path, body=b"", timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for node in self.cores:
                status, _, answer = await self.call(
                    node.ip, self.ports["op"], method, path,
                    [("Host", "control"), ("Content-Type", "application/json")], body, 1.5)
                if status and status not in (307, 503):
                    return status, answer
            await asyncio.sleep(0.2)
        return 0, b""

    async def replace(self, document, timeout=20.0):
        body = json.dumps(document).encode()
        status, _ = await self.operate("POST", "/api/Config.Replace", body, timeout)
        self.note("config", version=document["Version"], status=status)
        return status

    async def enforce_memory(self, node, limit_mb):
        """Does what the platform does: kills a process over its limit, and starts one again that
        ended. `node.ends` gets the memory at each end."""
        while True:
            await asyncio.sleep(0.02)
            used = node.memory_mb()
            node.peak = max(node.peak, used)
            if node.is_up() and used <= limit_mb:
                continue
            node.ends.append(round(used))
            self.note("end", node=node.name, memory_mb=round(used), limit_mb=limit_mb)
            node.kill()
            await asyncio.sleep(0.5)
            node.start()

    async def is_ready(self, node):
        status, _, _ = await self.call(node.ip, self.ports["ready"], "GET", "/api/readyz",
                                       [("Host", "platform")], b"", 1.0)
        return status == 200

    async def wait_node_ready(self, node, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready(node):
                return True
            await asyncio.sleep(0.1)
        return False

    def is_in_touch(self, since):
        """Returns whether all machines have run undisturbed for the contact time before `since`,
        and still run."""
        return (since >= self.disturbed_at + CONTACT_S and
                all(node.is_up() for node in self.cores + self.entries))

    async def wait_in_touch(self):
        """Waits for the contact time after the last start, and half a second."""
        await asyncio.sleep(max(0, self.disturbed_at + CONTACT_S + 0.5 - time.monotonic()))

    async def wait_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            states = [await self.call(n.ip, self.ports["ready"], "GET", "/api/readyz",
                                      [("Host", "x")]) for n in self.entries]
            if all(s[0] == 200 for s in states):
                return True
            await asyncio.sleep(0.2)
        return False


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Hostname": "desk.example", "PathPrefix": prefix, "RouteKind": kind,
            "TimeoutMs": 12000, "AimMs": 500, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "Sticky": kind == "streaming", "Resumable": False, **more}


def document(version, services, routes):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def plain(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1",
            "Tls": False}


def models(name, names, slots=32, stride=6):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 240, "Protocol": "h1",
            "Tls": False,
            "Engine": {"Slots": slots, "KvCapacity": 90000, "KvTokenBytes": 163840,
                       "LinkMbps": 1500000.0, "Stride": stride, "Cap": 12, "HostMb": 150000.0,
                       "DiskMb": 460000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0,
                       "Models": [{"Name": n, "WeightsMb": 70000.0, "LoadTimeS": 3.0,
                                   "Adapters": 0, "AdapterSizeMb": 12.0, "WarmS": 0.45,
                                   "DiskLoadS": 0.6} for n in names],
                       "WeightsMb": 230000.0, "AdapterSlots": 8, "LoadsPerS": 3.1}}


def new_attempt():
    return secrets.token_hex(8)


def run_case(play, record=None, **options):
    """Plays a case; `play` returns its exit code. A case that fails itself could not run."""
    could_not_run = 2
    # Ends the programs, too, if the script is ended from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(could_not_run))

    async def whole():
        with tempfile.TemporaryDirectory() as folder:
            lab = Lab(folder, record, **options)
            try:
                return await asyncio.wait_for(play(lab), 110)
            finally:
                lab.stop()
    try:
        return asyncio.run(whole())
    except Exception as error:
        print(f"could not run: {error!r}")
        return could_not_run
