"""Cost of the replicated state: changes, spreading, recovery, memory."""

import json
import os
import threading
import time

from deployment import DOMAINS, Deployment, ask, wait_until
from measure import Report, cpu_seconds, resident_bytes

NODES = 580
CHANGES_PER_SECOND = 21_000 / 86_400
CORE_SHARE_TARGET = 0.01
MEMORY_TARGET = 256 * 1024 * 1024
BYTES_TARGET = 24 * 1024


def change(deployment, revision, index):
    """Sends one small change; returns the answer."""
    return deployment.admin(
        "POST",
        "/admin/changes",
        {
            "change_id": f"bench-{index}",
            "expected_revision": revision,
            "patch": {"settings": {"worth": 1 + index % 50}},
        },
    )


def accepted_revision(answer):
    """Revision that an accepted change made; a refusal ends the benchmark."""
    if answer.status != 200:
        raise RuntimeError(f"the change was refused: {answer.status} {answer.body!r}")
    return answer.json()["revision"]


def wire_bytes(entry):
    page = ask(entry.port, "GET", "/metrics").body.decode()
    for line in page.splitlines():
        if line.startswith("celeryspread_wire_bytes "):
            return float(line.split()[1])
    raise RuntimeError("no wire byte counter")


def big_tree(deployment, models, adapters):
    tree = deployment.tree()
    tree["models"] = {}
    for i in range(models):
        tree["models"][f"model-{i}"] = {
            "names": {"short": f"m{i}", "path": f"org/team/model-{i}", "legacy": f"LEGACY-{i}"},
            "memory_bytes": 1,
            "default_version": "v1",
            "versions": {"v1": {"names": {"legacy": f"LEGACY-{i}-V1"}}},
        }
    for i in range(adapters):
        model = tree["models"][f"model-{i % models}"]
        model.setdefault("adapters", {})[f"adapter-{i}"] = {
            "names": {"short": f"a{i}", "legacy": f"LEGACY-ADAPTER-{i}"},
            "memory_bytes": 1,
        }
    return tree


def measure_changes(deployment, report, count):
    """Changes one after another, and the time until each is in force."""
    revision = deployment.admin("GET", "/admin/tree").json()["revision"]
    latencies = []
    spread = []
    start = time.monotonic()
    for i in range(count):
        sent = time.monotonic()
        answer = change(deployment, revision, i)
        latencies.append(time.monotonic() - sent)
        report.promise("every change was accepted", answer.status == 200)
        revision = accepted_revision(answer)
        if i % 10 == 0:
            deployment.wait_for_revision(revision)
            spread.append(time.monotonic() - sent)
    passed = time.monotonic() - start
    latencies.sort()
    report.figures["changes_per_s_one_after_another"] = round(count / passed, 1)
    report.figures["change_p50_ms"] = round(latencies[count // 2] * 1000, 2)
    entries = len(deployment.entries)
    report.figures[f"in_force_max_ms_{entries}_entries"] = round(max(spread) * 1000, 1)
    return max(spread), revision


def measure_racing(deployment, report, revision, operators):
    """Operators that race on each revision: exactly one wins each."""
    wins = []
    lock = threading.Lock()

    def race(index):
        answer = deployment.admin(
            "POST",
            "/admin/changes",
            {
                "change_id": f"race-{revision}-{index}",
                "expected_revision": revision,
                "patch": {"settings": {"worth": 2}},
            },
            entry=index % len(deployment.entries),
        )
        with lock:
            wins.append(answer.status)

    threads = [threading.Thread(target=race, args=(i,)) for i in range(operators)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    report.promise("exactly one racing operator wins", wins.count(200) == 1)


def measure_share(deployment, seconds, changes_per_second, revision):
    """Core share and bytes a second of one entry; returns the revision too."""
    entry = deployment.entries[1]
    pid = entry.child.pid
    cpu = cpu_seconds(pid)
    moved = wire_bytes(entry)
    start = time.monotonic()
    index = 0
    while time.monotonic() - start < seconds:
        if changes_per_second > 0 and (time.monotonic() - start) * changes_per_second > index:
            answer = change(deployment, revision, 100_000 + revision)
            revision = accepted_revision(answer)
            index += 1
        time.sleep(0.05)
    passed = time.monotonic() - start
    share = (cpu_seconds(pid) - cpu) / passed
    return share, (wire_bytes(entry) - moved) / passed, index / passed, revision


def measure_recovery(deployment, report):
    """Time from start to a caught-up replica of one control instance."""
    control = deployment.controls[2]
    folder = deployment.data_folder(control)
    size = sum(os.path.getsize(os.path.join(folder, f)) for f in os.listdir(folder))
    control.kill()
    start = time.monotonic()
    control.restart()
    report.figures["control_restart_ms"] = round((time.monotonic() - start) * 1000, 1)
    report.figures["control_disk_bytes"] = size


def measure_sizes(report):
    """Memory and processor time against the number of models and adapters."""
    for models, adapters in ((35, 100), (880, 880), (880, 4000)):
        deployment = Deployment(entries=2, controls=3, engines=1)
        try:
            deployment.start()
            deployment.apply(big_tree(deployment, models, adapters))
            deployment.wait_for_revision(1)
            time.sleep(2)
            name = f"{models}_models_{adapters}_adapters"
            share, moved, rate, _ = measure_share(deployment, 12, CHANGES_PER_SECOND * 4, 1)
            # Four times the rate gives a share above the clock's tick; the
            # cost of a change is linear in their number.
            rest, rest_bytes, _, _ = measure_share(deployment, 6, 0, 0)
            per_change = (share - rest) / rate
            at_rate = rest + per_change * CHANGES_PER_SECOND
            report.figures[f"entry_cpu_ms_per_change_{name}"] = round(per_change * 1000, 2)
            report.figures[f"entry_core_share_{name}"] = round(at_rate, 5)
            report.figures[f"entry_core_share_at_rest_{name}"] = round(rest, 5)
            report.figures[f"entry_bytes_per_s_at_rest_{name}"] = round(rest_bytes)
            report.figures[f"entry_bytes_per_change_{name}"] = round((moved - rest_bytes) / rate)
            report.figures[f"entry_memory_bytes_{name}"] = resident_bytes(
                deployment.entries[1].child.pid
            )
            report.figures[f"control_memory_bytes_{name}"] = max(
                resident_bytes(c.child.pid) for c in deployment.controls
            )
            last = (at_rate, moved, report.figures[f"entry_memory_bytes_{name}"])
        finally:
            deployment.kill_all()
    return last


def run(seed, _options):
    report = Report("state", seed)
    spreads = {}
    for entries in (3, 8, 16):
        deployment = Deployment(entries=entries, controls=3, engines=1)
        try:
            deployment.start()
            deployment.apply(deployment.tree())
            deployment.wait_for_revision(1)
            spreads[entries], revision = measure_changes(deployment, report, 100)
            measure_racing(deployment, report, revision, 6)
            if entries == 3:
                measure_recovery(deployment, report)
        finally:
            deployment.kill_all()
    slope = (spreads[16] - spreads[3]) / 13
    report.figures["in_force_ms_per_added_entry"] = round(slope * 1000, 3)
    report.at_most("change in force everywhere today (8 entries), s", 1, round(spreads[8], 3))
    worked_out = spreads[16] + max(0, slope) * (NODES - 16)
    report.at_most("change in force at 580 nodes, worked out, s", 8, round(worked_out, 3))
    share, moved, memory = measure_sizes(report)
    report.at_most(
        "core share of control on an entry, 880 models and 4,000 adapters",
        CORE_SHARE_TARGET,
        round(share, 5),
    )
    report.at_most("control bytes a second at an entry", BYTES_TARGET, round(moved))
    report.at_most("memory of an entry without calls", MEMORY_TARGET, memory)
    report.not_measured(
        "at most 21 control instances", "<= 21", "the domain quorums are not built yet"
    )
    return report.print()
