"""One keeper, two entries, one database of three members: a session writes at one entry
and reads its write at the other."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from caller import Caller
from case import Case, options, run_main


def body(arguments):
    with Case(arguments, keepers=1, entries=2) as case:
        first, second = case.fleet.entries
        caller = Caller(case.fleet, case.history, "roamer")
        for round_number in range(20):
            operation = caller.write("trials", "entry-book", entries=[first],
                                     patience_s=10)
            case.require(operation.outcome == "ok",
                         f"write {round_number}: {operation.errors}")
            reply = caller.read("trials", "entry-book", entries=[second], patience_s=5)
            case.require(reply.good, f"read {round_number}: {reply.error}")
            first, second = second, first
        done = caller.transaction("trials", ["entry-book", "fees"], first)
        case.require(done.outcome == "ok", f"transaction: {done.errors}")
        case.require(caller.read("trials", "fees", entries=[second], patience_s=5).good,
                     "read after the transaction")
        caller.close()
        case.history.judge(case.fleet)
    return case.history


run_main("whole-path", body, options(__doc__, 23020).parse_args())
