"""The primary's process restarts at once under load, first with its disk and then without:
writes go on, and nothing acknowledged is lost."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from case import Case, options, run_main
from workload import Workload

LOAD_SECONDS = 2
FAILOVER_SECONDS = 20


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        load = Workload(fleet, history, arguments.seed).start()
        for lose_disk in (False, True):
            time.sleep(LOAD_SECONDS)
            primary = fleet.primary("trials")
            if primary is None:
                break
            primary.kill()
            if lose_disk:
                primary.lose_disk()
            primary.start()
            restarted = time.monotonic()
            how = "without its disk" if lose_disk else "with its disk"
            case.wait_for(lambda since=restarted: any(t > since + 0.5 for t in
                                                      history.acknowledged_at),
                          FAILOVER_SECONDS, f"writes go on after a restart {how}")
        load.stop()
        history.judge(fleet)
    return history


run_main("primary-restart", body, options(__doc__, 23200).parse_args())
