"""An entry is killed under load and started again: sessions go on at the other entries."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import time

from case import Case, options, run_main
from workload import Workload

LOAD_SECONDS = 3


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        load = Workload(fleet, history, arguments.seed).start()
        time.sleep(LOAD_SECONDS)
        primary = fleet.primary("trials")
        # The entry in the primary's domain holds its connections.
        lost = next(e for e in fleet.entries if e.domain == primary.domain)
        killed = time.monotonic()
        lost.kill()
        case.wait_for(lambda: any(t > killed + 1 for t in history.acknowledged_at), 25,
                      "writes go on through the other entries")
        time.sleep(LOAD_SECONDS)
        lost.start()
        time.sleep(LOAD_SECONDS)
        load.stop()
        print(f"longest gap in writes {history.longest_gap(killed - 1, time.monotonic()):.2f} s")
        fleet.wait_ready()
        history.judge(fleet)
    return history


run_main("entry-loss", body, options(__doc__, 23060).parse_args())
