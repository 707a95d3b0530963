"""The primary is killed under load, then started again: writes go on at another member
and nothing acknowledged is lost or doubled."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import time

from case import Case, options, run_main
from workload import Workload

LOAD_SECONDS = 3
FAILOVER_SECONDS = 25


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        load = Workload(fleet, history, arguments.seed).start()
        time.sleep(LOAD_SECONDS)
        primary = fleet.primary("trials")
        killed = time.monotonic()
        primary.kill()
        case.wait_for(lambda: any(t > killed + 0.5 for t in history.acknowledged_at),
                      FAILOVER_SECONDS, "writes go on at another member")
        time.sleep(LOAD_SECONDS)
        primary.start()
        time.sleep(LOAD_SECONDS)
        load.stop()
        print(f"longest gap in writes {history.longest_gap(killed - 1, time.monotonic()):.2f} s")
        fleet.wait_ready()
        history.judge(fleet)
    return history


run_main("primary-loss", body, options(__doc__, 23040).parse_args())
