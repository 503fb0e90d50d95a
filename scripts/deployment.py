"""Runs a small deployment on loopback; it ends only processes that it started."""

import json
import os
import random
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("CELERYSPREAD_BUILD", os.path.join(ROOT, "build"))
DOMAINS = ["dar", "arusha", "mwanza"]
START_SECONDS = 30
# Ports below the system's own ones that free_port() chooses from.
EXPLICIT_PORTS = 12_000
RETURNED_PORTS = set()


def first_ephemeral_port():
    """Returns the lowest port that the system hands out by itself."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as text:
        return int(text.read().split()[0])


def free_port():
    """Returns a port that was free when it was probed, and that this process did not
    return before. It is none of those that the system hands out by itself: a process
    that binds port 0, or connects, could have it before its user does."""
    last = first_ephemeral_port()
    while True:
        port = random.SystemRandom().randrange(last - EXPLICIT_PORTS, last)
        if port in RETURNED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        RETURNED_PORTS.add(port)
        return port


class Process:
    """One process of the deployment; its output and log are files in the folder."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.folder = folder
        self.port = None
        self.child = None

    def start(self):
        """Starts the process and waits until it prints the port it listens on."""
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        out_path = os.path.join(self.folder, self.name + ".out")
        out = open(out_path, "wb")
        program = [os.path.join(BUILD, self.arguments[0])] + self.arguments[1:]
        self.child = subprocess.Popen(program, stdout=out, stderr=log)
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            with open(out_path) as lines:
                for line in lines:
                    if line.startswith("listening ") and line.endswith("\n"):
                        self.port = int(line.split()[1])
                        return self
            if self.child.poll() is not None:
                break
            time.sleep(0.01)
        raise RuntimeError(f"{self.name} did not start, see {self.folder}")

    def restart(self):
        """Starts an ended process again with the same settings.

        It drops --bootstrap, because only the first start may found a cluster.
        """
        self.arguments = [a for a in self.arguments if a != "--bootstrap"]
        return self.start()

    def signal(self, number):
        self.child.send_signal(number)

    def stop(self):
        """Stops the process with SIGTERM and returns its exit code.

        A paused process is resumed for that; after 30 s it is killed.
        """
        if self.child is None:
            return 0
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
            self.child.send_signal(signal.SIGCONT)
        try:
            return self.child.wait(timeout=30)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Answer:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def ask(port, method, path, body=None, key=None, headers=None, timeout=30):
    """Sends one HTTP request to a port on loopback and returns the response."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=data, method=method
    )
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", "Bearer " + key)
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return Answer(answer.status, answer.headers, answer.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, error.headers, error.read())


def wait_until(condition, seconds=START_SECONDS, what="condition"):
    """Polls a condition until it holds; raises RuntimeError after the time limit.

    An OSError counts as a condition that doesn't hold yet.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise RuntimeError(f"gave up waiting for {what}")


class Deployment:
    """Control instances, entries and fake upstreams in three failure domains."""

    def __init__(self, entries=3, controls=3, engines=4, engine_options=(), service_options=()):
        self.folder = tempfile.mkdtemp(prefix="celeryspread-")
        self.operator_key = "bootstrap." + secrets.token_hex(16)
        self.caller_key = "desk." + secrets.token_hex(16)
        self.engine_options = list(engine_options)
        self.key_file = os.path.join(self.folder, "cluster.key")
        with open(self.key_file, "w") as out:
            out.write(secrets.token_hex(32))
        self.control_peers = {
            f"control-{i + 1}": {"address": "127.0.0.1", "port": free_port()}
            for i in range(controls)
        }
        self.controls = [self._control(i) for i in range(controls)]
        self.entries = [self._entry(i) for i in range(entries)]
        self.engines = [
            Process(f"engine-{i + 1}", ["fake-engine"] + self.engine_options, self.folder)
            for i in range(engines)
        ]
        self.service = Process("service-1", ["fake-service"] + list(service_options), self.folder)

    def _write(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out, indent=1)
        return path

    def data_folder(self, control):
        return os.path.join(self.folder, "data-" + control.name)

    def voters(self):
        """Returns the control instance of each voting replica by replica id; empty
        when no entry answers."""
        answer = self.admin_anywhere("GET", "/admin/status")
        if answer.status != 200:
            return {}
        return {id: v["instance"] for id, v in answer.json()["voters"].items()}

    def wait_for_voters(self, lost=()):
        """Waits until each control instance has exactly one voting replica and no
        lost replica is among them. The old replica of a lost disk counts as a
        voter until the leader learns of the loss."""

        def has_all_voters():
            voters = self.voters()
            if any(replica in voters for replica in lost):
                return False
            return sorted(voters.values()) == sorted(self.control_peers)

        wait_until(has_all_voters, what="a full set of voters")

    def admin_anywhere(self, method, path):
        """Sends a request to the entries in turn until one answers with status 200;
        returns the last answer."""
        answer = None
        for entry in range(len(self.entries)):
            answer = self.admin(method, path, entry=entry)
            if answer.status == 200:
                break
        return answer

    def _control(self, index):
        name = f"control-{index + 1}"
        path = self._write(
            name,
            {
                "instance": name,
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "address": "127.0.0.1",
                "wire_port": self.control_peers[name]["port"],
                "data_folder": os.path.join(self.folder, "data-" + name),
                "cluster_key_file": self.key_file,
                "operator_key_hash": self.hash_key(self.operator_key),
                "control": self.control_peers,
            },
        )
        return Process(
            name, ["celeryspread-control", "--settings", path, "--bootstrap"], self.folder
        )

    def replacement_for(self, control):
        """Returns another process for a control instance, with an empty disk and
        ports of its own."""
        settings_path = os.path.join(self.folder, control.name + ".json")
        with open(settings_path) as source:
            settings = json.load(source)
        name = control.name + "-replacement"
        settings["wire_port"] = free_port()
        settings["data_folder"] = os.path.join(self.folder, "data-" + name)
        path = self._write(name, settings)
        return Process(name, ["celeryspread-control", "--settings", path], self.folder)

    def joiner(self, name, without=()):
        """Returns the process of a further control instance with an empty disk, which
        is told of all control instances but some."""
        settings_path = os.path.join(self.folder, self.controls[0].name + ".json")
        with open(settings_path) as source:
            settings = json.load(source)
        port = free_port()
        settings["instance"] = name
        settings["wire_port"] = port
        settings["data_folder"] = os.path.join(self.folder, "data-" + name)
        settings["control"] = {
            peer: place for peer, place in self.control_peers.items() if peer not in without
        }
        settings["control"][name] = {"address": "127.0.0.1", "port": port}
        path = self._write(name, settings)
        return Process(name, ["celeryspread-control", "--settings", path], self.folder)

    def _entry(self, index):
        name = f"entry-{index + 1}"
        path = self._write(
            name,
            {
                "instance": name,
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "address": "127.0.0.1",
                "http_port": free_port(),
                "cluster_key_file": self.key_file,
                "trace_file": os.path.join(self.folder, name + "-trace.json"),
                "drain_lag_ms": 200,
                "control": self.control_peers,
            },
        )
        return Process(name, ["celeryspread-entry", "--settings", path], self.folder)

    @staticmethod
    def hash_key(key):
        done = subprocess.run(
            [os.path.join(BUILD, "celeryspreadctl"), "hash-key"],
            input=key + "\n",
            capture_output=True,
            text=True,
            check=True,
        )
        return done.stdout.strip()

    def all(self):
        return self.entries + self.controls + self.engines + [self.service]

    def start(self):
        for process in self.engines + [self.service] + self.controls + self.entries:
            process.start()
        self.wait_for_leader()
        return self

    def wait_for_leader(self):
        wait_until(
            lambda: self.admin_anywhere("GET", "/admin/status").status == 200,
            what="a leading control instance",
        )

    def admin(self, method, path, body=None, entry=0):
        return ask(self.entries[entry].port, method, path, body, self.operator_key)

    def read_tree(self):
        """Returns the settings tree as the first entry reads it. The entry answers
        503 for a moment after the leader has changed."""
        answer = None

        def is_read():
            nonlocal answer
            answer = self.admin("GET", "/admin/tree")
            return answer.status == 200

        wait_until(is_read, what="the settings tree")
        return answer.json()

    def ctl(self, *words):
        """Runs celeryspreadctl against the first entry."""
        environment = dict(os.environ, CELERYSPREAD_KEY=self.operator_key)
        return subprocess.run(
            [
                os.path.join(BUILD, "celeryspreadctl"),
                "--port",
                str(self.entries[0].port),
                *words,
            ],
            capture_output=True,
            text=True,
            env=environment,
        )

    def tree(self):
        """Returns the example settings tree with the upstreams and the caller key of
        this deployment."""
        with open(os.path.join(ROOT, "scripts", "demo_tree.json")) as text:
            tree = json.load(text)
        tree["services"]["desk"]["key_hash"] = self.hash_key(self.caller_key)
        tree["upstreams"] = {
            engine.name: {
                "kind": "engine",
                "address": "127.0.0.1",
                "port": engine.port,
                "failure_domain": DOMAINS[i % len(DOMAINS)],
                "memory_bytes": 40_000_000_000,
                "cache_reserve_bytes": 8_000_000_000,
                "slots": 256,
                "checks_fencing": True,
            }
            for i, engine in enumerate(self.engines)
        }
        tree["upstreams"]["service-1"] = {
            "kind": "plain_service",
            "plain_service": "payments",
            "address": "127.0.0.1",
            "port": self.service.port,
            "failure_domain": DOMAINS[0],
        }
        return tree

    def apply(self, patch):
        path = self._write("patch", patch)
        done = self.ctl("apply", "--file", path)
        if done.returncode != 0:
            raise RuntimeError(done.stderr)

    def wait_for_revision(self, revision):
        """Waits until every entry applies this revision or a later one."""

        def is_applied():
            return all(
                ask(entry.port, "GET", "/status").json()["revision"] >= revision
                for entry in self.entries
            )

        wait_until(is_applied, what=f"revision {revision} on every entry")

    def wait_for_models(self, names):
        """Waits until every entry knows a loaded copy of each model, by engine name."""

        def are_loaded():
            for entry in self.entries:
                upstreams = ask(entry.port, "GET", "/status").json()["upstreams"]
                loaded = set()
                for state in upstreams.values():
                    loaded.update(state["resident"])
                if not set(names) <= loaded:
                    return False
            return True

        wait_until(are_loaded, what="resident models")

    def stop(self):
        """Stops entries, then control instances, and kills the fake upstreams.

        Returns the exit codes of entries and control instances by name.
        """
        codes = {}
        for process in self.entries + self.controls:
            codes[process.name] = process.stop()
        for process in self.engines + [self.service]:
            process.kill()
        return codes

    def kill_all(self):
        for process in self.all():
            process.kill()
