"""Starts a small deployment of the project's own programs on loopback.

The programs, their commands and their settings come from the deploy file and
its templates. Clients, engines, the operator and the platform are small
stand-ins that follow PROTOCOL.md and DEPLOY.md. Nothing here judges a rule;
that is done by each case.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Figures of the sheet of a small deployment (SYSTEM.md, kinyama-orders).
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000,
    "CatchUpS": 4, "DrainMs": 4000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 3000, "DowngradeMs": 250, "MaxStretchMs": 6000,
    "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 56, "RecoverS": 12,
    "PassMs": 400, "RetryAfterS": 0, "Fencing": True, "LeaseMs": 3000,
    "ThawMs": 300, "CeilingWindowS": 5, "CeilingOverage": 1.1,
}
MEMORY_MB = {"frontend": 260, "core": 256}
RESTART_DELAY_S = 0.5


def render(template, fields):
    """Fills in the plain placeholders of a template (DEPLOY.md, Settings)."""

    def value_of(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def replace(match):
        path, as_json = match.group(1), match.group(2)
        value = value_of(path)
        if as_json:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


def rss_mb(pid):
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Node:
    """One machine with one role. The platform starts its process again after
    it ended, and kills it when it uses more than its memory."""

    def __init__(self, run, name, role, machine_class, ip, seeds, listen):
        self.run, self.name, self.role, self.ip = run, name, role, ip
        self.machine_class = machine_class
        self.listen = listen
        self.process = None
        self.ends = []
        self.expected_end = False
        self.started_at = None
        self.signalled_at = []
        self.stopping = False
        self.task = None
        self.max_rss = 0.0
        self.zone = f"zone-{run.zone_of(name)}"
        self.data = run.temp / name
        self.fields = {
            "NodeName": name, "Role": role, "MachineClass": machine_class,
            "Ip": ip, "Zone": self.zone, "Region": "region-a",
            "Zones": run.zones, "Listen": listen,
            "PortRange": [run.wire_port, run.wire_port + 15],
            "Seeds": seeds, "Bootstrap": True,
            "CountsAsLoss": machine_class == "core",
            "Limits": {"MemoryMb": MEMORY_MB[machine_class]},
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "CloudApi": {"Address": run.list_address, "RatePerS": 44.0,
                         "LagMs": 800},
            "DataDir": str(self.data) if machine_class == "core" else None,
        }

    def write_settings(self):
        template = (ROOT / self.run.deploy["roles"][self.role]["template"]).read_text()
        path = self.run.temp / f"{self.name}.json"
        path.write_text(render(template, self.fields))
        return path

    async def start(self):
        settings = self.write_settings()
        command = self.run.deploy["roles"][self.role]["run"].split()
        command[0] = str(ROOT / command[0])
        log = open(self.run.temp / f"{self.name}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CELERYSPREAD_CONFIG"] = str(settings)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.fields["Bootstrap"] = False
        self.started_at = time.monotonic()
        self.run.note(f"start {self.name} {self.ip}")

    async def keep_running(self):
        await self.start()
        while not self.stopping:
            waiter = asyncio.ensure_future(self.process.wait())
            killed = False
            while not waiter.done():
                await asyncio.wait([waiter], timeout=0.05)
                used = rss_mb(self.process.pid) if not waiter.done() else 0.0
                self.max_rss = max(self.max_rss, used)
                if used > MEMORY_MB[self.machine_class] and not killed:
                    killed = True
                    self.run.note(f"kill {self.name}: {used:.0f} MB of "
                                  f"{MEMORY_MB[self.machine_class]} MB")
                    self.process.kill()
            if self.stopping:
                break
            if self.expected_end:
                self.expected_end = False
            else:
                why = ("memory over the limit" if killed
                       else f"exit code {waiter.result()}")
                self.ends.append((time.monotonic(), why))
                self.run.note(f"ended by itself: {self.name}: {why}")
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.stopping:
                await self.start()

    def launch(self):
        self.task = asyncio.ensure_future(self.keep_running())

    def signal(self, number):
        self.run.note(f"signal {signal.Signals(number).name} {self.name}")
        self.signalled_at.append(time.monotonic())
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        """Kills the process; it is started again after RESTART_DELAY_S."""
        self.expected_end = True
        self.signal(signal.SIGKILL)

    def log_tail(self, lines=2):
        path = self.run.temp / f"{self.name}.log"
        text = path.read_text(errors="replace").splitlines() if path.exists() else []
        return text[-lines:]


class Run:
    """One run of a case."""

    def __init__(self, folder, cores=3, fronts=1, zones=3):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.begin = time.monotonic()
        self.record = open(self.folder / "record.txt", "w")
        self.note(f"trouble {'on' if self.trouble else 'off'}")
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in self.deploy["roles"].values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise FileNotFoundError(role["run"])
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        seed = os.getpid()
        self.block = f"127.{20 + seed % 200}.{seed // 200 % 250}"
        self.zone_count = zones
        self.zones = {f"zone-{i}": "region-a" for i in range(zones)}
        ports = self.free_ports(6)
        (self.control_port, self.call_port, self.ready_port, self.list_port,
         self.engine_port, self.wire_port) = ports
        self.next_host = 1
        self.list_address = f"{self.address()}:{self.list_port}"
        self.servers = []
        self.tasks = []
        # Entries of the list that come from another writer, as bytes.
        self.foreign_entries = []
        core_ips = [self.address() for _ in range(cores)]
        seeds = [f"{ip}:{self.control_port}" for ip in core_ips[:3]]
        self.cores = [
            Node(self, f"core-{i}", "control", "core", ip, seeds,
                 {"ControlPlane": f"{ip}:{self.control_port}"})
            for i, ip in enumerate(core_ips)]
        self.fronts = []
        for i in range(fronts):
            ip = self.address()
            self.fronts.append(
                Node(self, f"front-{i}", "entry", "frontend", ip, seeds,
                     {"Frontend": f"{ip}:{self.call_port}",
                      "Ready": f"{ip}:{self.ready_port}"}))
        self.engines = []

    def address(self):
        self.next_host += 1
        return f"{self.block}.{self.next_host}"

    def zone_of(self, name):
        return int(name.rsplit("-", 1)[1]) % self.zone_count

    def free_ports(self, count):
        found, held = [], []
        while len(found) < count:
            s = socket.socket()
            s.bind((f"{self.block}.250", 0))
            found.append(s.getsockname()[1])
            held.append(s)
        for s in held:
            s.close()
        return found

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.record.flush()

    async def serve_list(self):
        """The platform's list of engines."""

        async def answer(request):
            entries = [json.dumps(e.list_entry()).encode()
                       for e in self.engines if e.is_listed]
            entries += self.foreign_entries
            return 200, {}, (b'{"Instances":[' + b",".join(entries) +
                             b'],"Next":null}')

        ip, port = self.list_address.split(":")
        self.servers.append(await serve_http(ip, int(port), answer))

    async def start(self):
        await self.serve_list()
        for engine in self.engines:
            await engine.start()
        for node in self.cores + self.fronts:
            node.launch()

    async def finish(self):
        for node in self.cores + self.fronts:
            node.stopping = True
        for node in self.cores + self.fronts:
            if node.process is not None and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    await node.process.wait()
                except ProcessLookupError:
                    pass
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.record.close()
        if os.environ.get("REVIEW_KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    def is_in_touch(self, since):
        """Whether all machines were in touch from a moment on: their processes
        have run, with no start, signal or end in the ContactMs before it or
        since. Nothing here cuts or harms links, disks or clocks."""
        calm_from = since - BOUNDS["ContactMs"] / 1000
        return all(
            node.is_running() and node.started_at <= calm_from and
            not any(at > calm_from for at in node.signalled_at) and
            not any(at > calm_from for at, _ in node.ends)
            for node in self.cores + self.fronts)

    # The operator's side.

    async def operator_call(self, node, method, path, body=b"", timeout=2.0, follow=2):
        """One call of the operator; follows a 307 twice. Returns status, body;
        status 0 means no response."""
        host, port = node.listen["ControlPlane"].split(":")
        try:
            status, headers, answer = await asyncio.wait_for(
                simple_call(host, int(port), method, path, body,
                            {"Content-Type": "application/json"}), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b""
        if status == 307 and follow > 0:
            match = re.match(r"http://([\d.]+):", headers.get("location", ""))
            for other in self.cores:
                if match and other.ip == match.group(1):
                    return await self.operator_call(other, method, path, body,
                                                    timeout, follow - 1)
        return status, answer

    async def replace_config(self, document, seconds=15.0, label=""):
        """Sends a configuration until it is acknowledged or refused, to one
        node after the other."""
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        end = time.monotonic() + seconds
        attempt, wait = 0, 0.1
        while time.monotonic() < end:
            node = self.cores[attempt % len(self.cores)]
            attempt += 1
            status, answer = await self.operator_call(
                node, "POST", "/api/Config.Replace", body)
            self.note(f"operator sends {label or len(body)} to {node.name}: "
                      f"{status or 'no response'} {answer[:120]!r}")
            if status in (200, 400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(max(0, min(wait, end - time.monotonic())))
            wait *= 1.5
        return 0

    async def wait_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        waiting = list(self.fronts)
        while waiting and time.monotonic() < end:
            for node in list(waiting):
                host, port = node.listen["Ready"].split(":")
                try:
                    status, _, _ = await asyncio.wait_for(
                        simple_call(host, int(port), "GET", "/api/readyz"), 1)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    waiting.remove(node)
            await asyncio.sleep(0.1)
        return not waiting


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def read_request(reader):
    line, headers = await read_head(reader)
    method, path, _ = line.split(" ", 2)
    return Request(method, path, headers, await read_body(reader, headers))


async def serve_http(ip, port, answer):
    """Serves HTTP/1.1 with kept connections. answer(request) returns status,
    headers and body."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                status, headers, body = await answer(request)
                headers = {"Content-Type": "application/json",
                           "Content-Length": str(len(body)), **headers}
                writer.write(f"HTTP/1.1 {status} X\r\n".encode() + b"".join(
                    f"{k}: {v}\r\n".encode() for k, v in headers.items()) + b"\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, reuse_address=True,
                                      limit=1 << 20)


async def simple_call(host, port, method, path, body=b"", headers=None):
    """One call on a new connection. Returns status, headers, body."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = {"Host": host, "Content-Length": str(len(body)), **(headers or {})}
        writer.write(f"{method} {path} HTTP/1.1\r\n".encode() + b"".join(
            f"{k}: {v}\r\n".encode() for k, v in head.items()) + b"\r\n" + body)
        await writer.drain()
        line, answered = await read_head(reader)
        return (int(line.split()[1]), answered,
                await read_body(reader, answered, until_close=True))
    finally:
        writer.close()


class Engine:
    """A sound engine: it runs each request at once and answers it whole."""

    def __init__(self, run, number, service, slots=8, models=None, work_s=0.02):
        self.run, self.service, self.slots, self.work_s = run, service, slots, work_s
        self.ip, self.port = run.address(), run.engine_port
        self.id = f"i-{number:08x}"
        self.zone = f"zone-{number % run.zone_count}"
        self.models = dict(models or {})
        self.has_models = models is not None
        self.sequence = 0
        self.running = 0
        self.is_listed = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.orders = []
        run.engines.append(self)

    def model_list(self):
        return [{"Name": n, "Version": 1, "Adapters": sorted(a)}
                for n, a in self.models.items()]

    def list_entry(self):
        entry = {"Id": self.id, "Service": self.service,
                 "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": self.state,
                 "ColdLeftMs": 0, "born": self.born}
        if self.has_models:
            entry |= {"Phase": "colocated", "Models": self.model_list()}
        return entry

    async def start(self):
        self.server = await serve_http(self.ip, self.port, self.answer)
        self.run.servers.append(self.server)

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def answer(self, request):
        path = request.path.split("?")[0]
        expected = request.headers.get("expect-instance", self.id)
        if path == "/healthz":
            return 200 if self.state == "ready" else 503, {"Instance-Id": self.id, "Instance-Load": self.load()}, b""
        if expected != self.id:
            return 421, {"Attempt-Id": request.headers.get("attempt-id", "")}, b""
        if path == "/api/report":
            return 200, {}, json.dumps({
                "Phase": "colocated", "Models": self.model_list(), "Busy": False,
                "Seq": self.sequence, "Waiting": 0, "Running": self.running,
                "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": self.born}).encode()
        if path == "/api/order":
            return await self.order(json.loads(request.body))
        return await self.execute(request)

    async def order(self, order):
        self.orders.append(order)
        self.run.note(f"order to {self.id}: {json.dumps(order)}")
        if order.get("Expect", self.sequence) != self.sequence:
            return 409, {}, b""
        model, adapter = order["Model"], order.get("Adapter")
        held = self.models.get(model)
        if order["Op"] == "load" and (adapter in (held or ()) if adapter else held is not None):
            return 200, {}, b""
        if adapter:
            if held is None:
                return 421, {}, b""
            if order["Op"] == "unload":
                # An adapter that no request uses is unloaded at once.
                held.discard(adapter)
                self.sequence += 1
                return 200, {}, b""
            held.add(adapter)
        elif order["Op"] == "load":
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.sequence += 1
        return 202, {}, b""

    async def execute(self, request):
        attempt = request.headers.get("attempt-id", "")
        if not attempt:
            return 400, {"Not-Executed": "1"}, b""
        self.runs.append((attempt, request.method, request.path, request.body))
        self.run.note(f"run on {self.id}: {attempt} {request.method} {request.path} "
                      f"body {len(request.body)} B")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return 200, {"Attempt-Id": attempt, "Server-Stamp": f"3e1b.{attempt}",
                     "Instance-Load": self.load()}, f"done {attempt}".encode()


class Client:
    """A client with one kept connection. It sends one request at a time and
    opens another connection after the node has closed this one."""

    def __init__(self, run, node):
        self.run, self.node = run, node
        self.reader = self.writer = None
        self.unsent = 0

    async def call(self, method, path, headers, body=b"", timeout=10.0):
        """Returns status, headers and body; status 0 means no answer until the
        timeout, -1 that the node closed the connection first."""
        host, port = self.node.listen["Frontend"].split(":")
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1)
            head = {"Content-Length": str(len(body)), **headers}
            self.writer.write(f"{method} {path} HTTP/1.1\r\n".encode() + b"".join(
                f"{k}: {v}\r\n".encode() for k, v in head.items()) + b"\r\n" + body)
            line, answered = await asyncio.wait_for(read_head(self.reader), timeout)
            answer = await asyncio.wait_for(read_body(self.reader, answered), timeout)
        except asyncio.TimeoutError:
            if self.writer is not None:
                # Bytes of the request that the node's machine has not taken.
                self.unsent = self.writer.transport.get_write_buffer_size()
            self.close()
            return 0, {}, b""
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return -1, {}, b""
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split()[1]), answered, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def document(version, services, routes):
    """A configuration with the limits of the page's example."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def route(name, host, prefix, kind, service, timeout_ms=6000, aim_ms=400, attempts=2):
    return {"Name": name, "Hostname": host, "PathPrefix": prefix, "RouteKind": kind,
            "TimeoutMs": timeout_ms, "AimMs": aim_ms, "Priority": 1,
            "Service": service, "MaxAttempts": attempts, "Sticky": False,
            "Resumable": False, "GapTargetMs": 0}


def service(name, connections=110):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": connections,
            "Protocol": "h1", "Tls": False}


def main(case, folder, **options):
    """Runs case(run), which returns HELD, BROKEN or NOT_RUN."""

    async def body():
        run = Run(folder, **options)
        try:
            return await asyncio.wait_for(case(run), 110)
        except asyncio.TimeoutError:
            run.note("the case took too long")
            return NOT_RUN
        finally:
            await run.finish()

    # Connections that are left when the loop has ended are of no interest.
    sys.unraisablehook = lambda _: None
    try:
        return asyncio.run(body())
    except Exception:  # Any fault of the case itself is no result.
        traceback.print_exc()
        return NOT_RUN
