"""A member comes back without its disk, and right after that a second member is lost: what
was acknowledged by these two must not vanish while the third lags. Writes may wait until
the second member is back."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from caller import Caller
from case import Case, options, run_main

WRITES = 10
SECOND_LOSS_SECONDS = 4


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        caller = Caller(fleet, history, "payer")
        caller.write("trials", "fees", patience_s=10)
        primary = fleet.primary("trials")
        near, lagging = [m for m in fleet.members if m is not primary]
        fleet.member_fault(lagging, freeze_replication=1)
        for _ in range(WRITES):
            caller.write("trials", "fees", patience_s=10)
        near.kill()
        primary.kill()
        primary.lose_disk()
        primary.start()
        time.sleep(SECOND_LOSS_SECONDS)
        near.start()
        fleet.mend()
        after = caller.write("trials", "fees", patience_s=25)
        case.require(after.outcome == "ok", f"writing afterwards: {after.errors[-3:]}")
        caller.close()
        history.judge(fleet)
    return history


run_main("second-loss", body, options(__doc__, 23180).parse_args())
