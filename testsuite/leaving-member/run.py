"""The primary is asked to leave under load: new work stops within seconds, and writes go
on at another member."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import time

from case import Case, options, run_main
from workload import Workload

LOAD_SECONDS = 2
# The member counts new work that comes later than this, and stays two seconds more.
SPREAD_SECONDS = 3


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        load = Workload(fleet, history, arguments.seed).start()
        time.sleep(LOAD_SECONDS)
        primary = fleet.primary("trials")
        primary.terminate()
        asked = time.monotonic()
        time.sleep(SPREAD_SECONDS + 0.7)
        late = fleet.stats(primary)["late_after_leaving"]
        case.require(late == 0, f"{late} requests came after the time to leave")
        code = primary.wait()
        case.require(code == 0, f"the member exited with {code}")
        case.wait_for(lambda: any(t > asked + SPREAD_SECONDS + 1
                                  for t in history.acknowledged_at), 25,
                      "writes go on at another member")
        time.sleep(LOAD_SECONDS)
        load.stop()
        print(f"longest gap in writes {history.longest_gap(asked, time.monotonic()):.2f} s")
        history.judge(fleet)
    return history


run_main("leaving-member", body, options(__doc__, 23120).parse_args())
