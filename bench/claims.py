"""Cost of claims for work that must not repeat, on real processes."""

import json
import os
import subprocess
import time

from deployment import BUILD, Deployment, ask
from measure import Report, cpu_seconds

CLAIMS_PER_SECOND_TARGET = 21_000 * 0.05


def metric(process, name):
    page = ask(process.port, "GET", "/metrics").body.decode()
    for line in page.splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def load(deployment, concurrency, seconds, keyed):
    command = [
        os.path.join(BUILD, "load-client"),
        "--port", str(deployment.entries[0].port),
        "--key", deployment.caller_key,
        "--path", "/services/payments/transfer",
        "--concurrency", str(concurrency),
        "--seconds", str(seconds),
    ]
    if keyed:
        command.append("--keyed")
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    return json.loads(done.stdout)


def run(seed, _options):
    report = Report("claims", seed)
    deployment = Deployment(
        entries=1, controls=3, engines=1, service_options=["--delay-us", "0"]
    )
    best = 0
    try:
        deployment.start()
        tree = deployment.tree()
        tree["upstreams"]["service-1"]["slots"] = 10_000
        deployment.apply(tree)
        deployment.wait_for_revision(1)
        for concurrency in (1, 8, 64):
            plain = load(deployment, concurrency, 3, False)
            syncs = sum(metric(c, "celeryspread_control_syncs") for c in deployment.controls)
            cpu = sum(cpu_seconds(c.child.pid) for c in deployment.controls)
            keyed = load(deployment, concurrency, 3, True)
            syncs = sum(metric(c, "celeryspread_control_syncs") for c in deployment.controls) - syncs
            cpu = sum(cpu_seconds(c.child.pid) for c in deployment.controls) - cpu
            rate = keyed["finished"] / keyed["seconds"]
            best = max(best, rate)
            name = f"{concurrency}_callers"
            report.figures[f"claimed_calls_per_s_{name}"] = round(rate, 1)
            report.figures[f"added_p50_ms_{name}"] = (keyed["p50_us"] - plain["p50_us"]) / 1000
            report.figures[f"added_p99_ms_{name}"] = (keyed["p99_us"] - plain["p99_us"]) / 1000
            report.figures[f"commands_per_sync_{name}"] = round(
                2 * keyed["finished"] / (syncs / len(deployment.controls)), 2
            )
            report.figures[f"control_cpu_ms_per_call_{name}"] = round(
                cpu * 1000 / keyed["finished"], 3
            )
            report.promise("no call failed", plain["failed"] + keyed["failed"] == 0)
        executions = ask(deployment.service.port, "GET", "/executions").json()
        executions.pop("none", None)
        report.promise("no key ran twice", max(executions.values()) == 1)
        held = metric(deployment.controls[0], "celeryspread_control_claims")
        report.figures["claims_held"] = held
        report.at_least(
            "claimed calls per second through one quorum (5% of 21,000)",
            CLAIMS_PER_SECOND_TARGET,
            round(best, 1),
        )
    finally:
        deployment.kill_all()
    return report.print()
