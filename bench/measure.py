"""Reads processor time, memory and wake-ups of a process; builds reports."""

import json
import os
import sys

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns processor time that a process has used so far."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    """Returns the resident memory of a process."""
    return status_value(pid, "VmRSS") * 1024


def wakeups(pid):
    """Returns how often a process has slept and been woken."""
    return status_value(pid, "voluntary_ctxt_switches")


def status_value(pid, name):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(name + ":"):
                return int(line.split()[1])
    raise RuntimeError(f"{name} is not in the status of {pid}")


class Report:
    """Figures and targets of one benchmark run."""

    def __init__(self, name, seed):
        self.name = name
        self.seed = seed
        self.figures = {}
        self.targets = []
        self.broken = []

    def at_least(self, name, target, measured):
        self._add(name, f">= {target}", measured, measured >= target)

    def at_most(self, name, target, measured):
        self._add(name, f"<= {target}", measured, measured <= target)

    def not_measured(self, name, target, why):
        self._add(name, target, f"not measured: {why}", False)

    def promise(self, name, holds):
        """A promise that must hold in every run; a broken one fails it."""
        if not holds:
            self.broken.append(name)

    def _add(self, name, target, measured, met):
        self.targets.append(
            {"name": name, "target": target, "measured": measured, "met": bool(met)}
        )

    def print(self):
        """Prints the one JSON object and returns the exit code."""
        out = {
            "name": self.name,
            "seed": self.seed,
            "figures": self.figures,
            "targets": self.targets,
        }
        if self.broken:
            out["broken_promises"] = self.broken
        json.dump(out, sys.stdout)
        print()
        return 1 if self.broken else 0
