"""Cost of the data path: load client, entry instance and fake engines."""

import json
import os
import subprocess
import time

from deployment import BUILD, Process, ask, free_port, wait_until
from deployment import Deployment
from measure import Report, cpu_seconds, resident_bytes, wakeups

ENGINES = 3
CLIENTS = 2
TOKEN_MILLISECONDS = 39


class Bench:
    """One entry instance before fake engines, without control instances."""

    def __init__(self):
        self.deployment = Deployment(entries=0, controls=0, engines=0)
        folder = self.deployment.folder
        self.engines = [
            Process(
                f"engine-{i + 1}",
                ["fake-engine", "--resident", "advice", "--token-us", "500"],
                folder,
            ).start()
            for i in range(ENGINES)
        ]
        self.entry = self.start_entry()
        self.children = []

    def start_entry(self):
        deployment = self.deployment
        tree = {
            "naming_schemes": ["short"],
            "settings": {"trace_sample_percent": 0, "max_queued_calls": 100000},
            "regions": {"r": {"failure_domains": {"dar": {}}}},
            "models": {"advice": {"names": {"short": "advice"}}},
            "services": {
                "desk": {
                    "member": "m",
                    "key_hash": deployment.hash_key(deployment.caller_key),
                }
            },
            "upstreams": {
                engine.name: {
                    "address": "127.0.0.1",
                    "port": engine.port,
                    "failure_domain": "dar",
                    "slots": 10000,
                }
                for engine in self.engines
            },
        }
        tree_file = deployment._write("tree", tree)
        settings = deployment._write(
            "entry",
            {
                "instance": "entry-1",
                "failure_domain": "dar",
                "address": "127.0.0.1",
                "tree_file": tree_file,
                "max_connections": 20000,
            },
        )
        entry = Process(
            "entry-1", ["celeryspread-entry", "--settings", settings], deployment.folder
        ).start()
        wait_until(
            lambda: all(
                state["resident"]
                for state in ask(entry.port, "GET", "/status").json()["upstreams"].values()
            ),
            what="load reports",
        )
        return entry

    def restart_entry(self):
        """Starts the entry anew, so that its memory starts from nothing."""
        self.entry.stop()
        self.entry = self.start_entry()

    def load(self, port, prompt, concurrency, seconds, stream):
        command = [
            os.path.join(BUILD, "load-client"),
            "--port", str(port),
            "--key", self.deployment.caller_key,
            "--model", "advice",
            "--prompt", prompt,
            "--concurrency", str(concurrency),
            "--seconds", str(seconds),
        ]
        if stream:
            command.append("--stream")
        child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.children.append(child)
        return child

    def result(self, child):
        out, _ = child.communicate(timeout=120)
        return json.loads(out)

    def close(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
        self.entry.stop()
        for engine in self.engines:
            engine.kill()


def measure_requests(bench, report, callers):
    """Short whole answers, straight and through the entry in turn."""
    added = []
    per_core = []
    for _ in range(3):
        straight = bench.result(
            bench.load(bench.engines[0].port, "tokens=1 interval_ms=0", callers, 2, False)
        )
        before = cpu_seconds(bench.entry.child.pid)
        through = bench.result(
            bench.load(bench.entry.port, "tokens=1 interval_ms=0", callers, 2, False)
        )
        used = cpu_seconds(bench.entry.child.pid) - before
        per_core.append(through["finished"] / used)
        added.append((through["p50_us"] - straight["p50_us"], through["p99_us"] - straight["p99_us"]))
        report.promise("no call failed", straight["failed"] + through["failed"] == 0)
    added.sort()
    median = added[len(added) // 2]
    report.figures[f"added_p50_us_{callers}_callers"] = median[0]
    report.figures[f"added_p99_us_{callers}_callers"] = median[1]
    report.figures[f"requests_per_core_second_{callers}_callers"] = round(sorted(per_core)[1])
    report.at_most(f"added latency p50, ms, {callers} callers", 0.3, median[0] / 1000)


def measure_streams(bench, report, streams, seconds):
    """Streams at the pace of one token in 39 ms."""
    bench.restart_entry()
    pid = bench.entry.child.pid
    memory = resident_bytes(pid)
    prompt = f"tokens=100000 interval_ms={TOKEN_MILLISECONDS}"
    clients = [
        bench.load(bench.entry.port, prompt, streams // CLIENTS, seconds + 4, True)
        for _ in range(CLIENTS)
    ]
    time.sleep(3)
    before = cpu_seconds(pid)
    start = time.monotonic()
    counted = ask(bench.entry.port, "GET", "/status").json()["calls"]
    time.sleep(seconds)
    used = cpu_seconds(pid) - before
    passed = time.monotonic() - start
    per_stream = (resident_bytes(pid) - memory) / streams
    results = [bench.result(client) for client in clients]
    events = sum(r["events"] / r["seconds"] for r in results) * passed
    report.promise("every stream was open", counted == streams)
    report.promise("no stream failed", sum(r["failed"] for r in results) == 0)
    wait_until(
        lambda: ask(bench.entry.port, "GET", "/status").json()["calls"] == 0,
        what="closed streams",
    )
    return events / used, per_stream, events / passed


def measure_bulk(bench, report):
    """Answers of 4,000 tokens that the engines send at once."""
    pid = bench.entry.child.pid
    clients = [
        bench.load(bench.entry.port, "tokens=4000 interval_ms=0", 30, 4, True)
        for _ in range(CLIENTS)
    ]
    time.sleep(1)
    before = cpu_seconds(pid)
    start = time.monotonic()
    time.sleep(2)
    used = cpu_seconds(pid) - before
    passed = time.monotonic() - start
    results = [bench.result(client) for client in clients]
    rate = sum(r["events"] / r["seconds"] for r in results)
    report.figures["bulk_events_per_s"] = round(rate)
    report.figures["bulk_entry_core_share"] = round(used / passed, 3)
    return rate * passed / used


def measure_idle(bench, report):
    """Wake-ups of the entry with no stream and with 1,000 silent ones."""
    pid = bench.entry.child.pid
    first = wakeups(pid)
    time.sleep(3)
    without = (wakeups(pid) - first) / 3
    client = bench.load(bench.entry.port, "silent_after=1", 1000, 8, True)
    time.sleep(3)
    first = wakeups(pid)
    time.sleep(3)
    with_streams = (wakeups(pid) - first) / 3
    bench.result(client)
    report.figures["wakeups_per_s_without_streams"] = round(without, 1)
    report.figures["wakeups_per_s_with_1000_idle_streams"] = round(with_streams, 1)
    # A timer of its own would show as at least one wake-up a second in each.
    report.at_most(
        "wake-ups per idle stream and second", 0.1, (with_streams - without) / 1000
    )


def run(seed, _options):
    report = Report("datapath", seed)
    bench = Bench()
    try:
        measure_requests(bench, report, 1)
        measure_requests(bench, report, 4)
        measure_idle(bench, report)
        per_core, memory, rate = measure_streams(bench, report, 1000, 5)
        report.figures["paced_1000_events_per_s"] = round(rate)
        report.figures["paced_1000_events_per_core_second"] = round(per_core)
        report.figures["bytes_per_stream_1000"] = round(memory)
        per_core_5000, memory_5000, rate_5000 = measure_streams(bench, report, 5000, 5)
        report.figures["paced_5000_events_per_s"] = round(rate_5000)
        report.figures["paced_5000_events_per_core_second"] = round(per_core_5000)
        report.figures["bytes_per_stream_5000"] = round(memory_5000)
        bulk = measure_bulk(bench, report)
        report.figures["bulk_events_per_core_second"] = round(bulk)
        report.at_least(
            "SSE events per core second, 1,000 paced streams", 100_000, round(per_core)
        )
        report.at_least(
            "SSE events per core second, 5,000 paced streams", 100_000, round(per_core_5000)
        )
        report.at_least("SSE events per core second, bulk", 100_000, round(bulk))
        report.at_most("bytes per open stream, 1,000", 32_768, round(memory))
        report.at_most("bytes per open stream, 5,000", 32_768, round(memory_5000))
    finally:
        bench.close()
    return report.print()
