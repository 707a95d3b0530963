"""An entry is asked to stop under load: it goes unready first, cuts no request that it
took, and exits with 0."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import time

from case import Case, options, run_main
from fleet import http_call
from workload import Workload

LOAD_SECONDS = 3


def unready(entry):
    try:
        return http_call(entry.address, "GET", "/healthz")[0] != 200
    except OSError:
        return True


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        primary = fleet.primary("trials")
        leaving = next(e for e in fleet.entries if e.domain == primary.domain)
        others = [e for e in fleet.entries if e is not leaving]
        # The balancer takes the entry out as soon as it is unready.
        reachable = list(fleet.entries)
        load = Workload(fleet, history, arguments.seed, roam_entries=reachable).start()
        time.sleep(LOAD_SECONDS)
        leaving.terminate()
        case.wait_for(lambda: unready(leaving), 5, "the entry goes unready")
        reachable[:] = others
        code = leaving.wait()
        case.require(code == 0, f"the entry exited with {code}")
        time.sleep(LOAD_SECONDS)
        load.stop()
        broken = [error for operation in history.operations for error in operation.errors
                  if error.startswith("no answer")]
        case.require(not broken, f"requests were cut: {broken[:3]}")
        history.judge(fleet)
    return history


run_main("drain-entry", body, options(__doc__, 23080).parse_args())
