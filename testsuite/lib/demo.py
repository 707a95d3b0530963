"""The demonstration: a whole fleet at work, a primary killed in the middle, and what came
of it."""

import argparse
import json
import os
import subprocess
import sys
import time

from case import stop_on_signal
from fleet import FLEET_KEY, Fleet, FleetError, wait_until
from history import History
from workload import Workload

REPOSITORY = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
SHEET = os.path.join(REPOSITORY, "examples", "entry-books.csv")
READ_KINDS = ("fresh", "session", "running-order", "catalogue")
CALLERS = 9
LEAST_SECONDS = 6
IN_FORCE_SECONDS = 30


def apply_sheet(fleet, programs):
    """Applies the sample sheet and waits until it is in force at every entry."""
    settings = os.path.join(fleet.folder, "papayactl.json")
    with open(settings, "w", encoding="utf-8") as file:
        json.dump({"keepers": [k.address for k in fleet.keepers],
                   "fleet_key": FLEET_KEY}, file)
    tool = os.path.join(programs, "papayactl")
    for command in (["apply", SHEET, "--change", "demo", "--author", "demo"],
                    ["show", "--wait-in-force", str(IN_FORCE_SECONDS)]):
        done = subprocess.run([tool, *command, "--settings", settings], check=False,
                              capture_output=True, text=True, timeout=60)
        if done.returncode != 0:
            raise FleetError(f"papayactl {command[0]}: {done.stdout}{done.stderr}")


def run_load(fleet, history, seconds, seed):
    """Runs sessions of all ranks; kills a primary in the middle. The gap in writes, s."""
    load = Workload(fleet, history, seed, CALLERS, read_kinds=READ_KINDS).start()
    time.sleep(seconds / 2)
    database = fleet.databases[0]
    primary = fleet.primary(database)
    killed = time.monotonic()
    print(f"killing {primary.name}, the primary of {database}", flush=True)
    primary.kill()
    time.sleep(seconds / 2)
    load.stop()
    ended = time.monotonic()
    primary.start()
    wait_until(lambda: fleet.position(primary), 10, "the killed member is back")
    return history.longest_gap(killed, ended, database)


def report(fleet, history, gap):
    """All figures of the run."""
    reads = {"primary": 0, "replica": 0}
    for member in fleet.members:
        stats = fleet.stats(member)
        reads["primary"] += stats["reads_as_primary"]
        reads["replica"] += stats["reads_as_replica"]
    share = reads["replica"] / max(1, sum(reads.values()))
    figures = {"acknowledged_writes": history.acknowledged(),
               "reads": sum(1 for _, good, _, _ in history.reads if good),
               "lost": history.count("lost"),
               "doubled": history.count("doubled"),
               "read_your_writes_violations":
                   history.count("read_your_writes") + history.count("went_back"),
               "mixed_or_partial_answers": history.count("mixed") +
                   history.count("partial") + history.count("torn_transaction"),
               "false_not_run": history.count("false_not_run"),
               "other_violations": sum(history.count(kind) for kind in (
                   "malformed", "slots_exceeded", "connections_exceeded", "crashed",
                   "diverged", "other")),
               "replica_read_share": round(share, 3),
               "failover_gap_s": round(gap, 3),
               "ranks": history.by_rank()}
    figures["holds"] = not history.violations and figures["acknowledged_writes"] > 0
    return figures


def show(figures, history):
    for name, value in figures.items():
        if name != "ranks":
            print(f"{name.replace('_', ' '):32} {value}")
    for rank, row in figures["ranks"].items():
        print(f"  {rank:8} asked {row['asked']:6}  answered {row['answered']:6}  "
              f"p50 {row['p50_ms']:8} ms  p99 {row['p99_ms']:8} ms")
    for kind, text in history.violations[:20]:
        print(f"VIOLATION {kind}: {text}")


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--bin", required=True, help=argparse.SUPPRESS)
    parser.add_argument("--seconds", type=float, default=20, help="length of the load")
    parser.add_argument("--json", metavar="FILE", help="writes the figures as JSON too")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--base-port", type=int, default=23800)
    arguments = parser.parse_args()
    stop_on_signal()
    history = History()
    fleet = Fleet(arguments.bin, arguments.base_port, keepers=3, entries=6,
                  databases=("trials", "fees", "catalogue"))
    try:
        print("starting 3 keepers, 6 entries and 9 members in 3 failure domains",
              flush=True)
        fleet.start()
        apply_sheet(fleet, arguments.bin)
        print(f"sheet in force; {CALLERS} sessions for {arguments.seconds} s", flush=True)
        gap = run_load(fleet, history, max(LEAST_SECONDS, arguments.seconds),
                       arguments.seed)
        history.judge(fleet)
        figures = report(fleet, history, gap)
    finally:
        fleet.stop()
        fleet.remove()
    show(figures, history)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=1)
    sys.exit(0 if figures["holds"] else 1)


if __name__ == "__main__":
    main()
