"""The member's answer to a write is lost: asked again by its key at another entry, the
write has run exactly once."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from caller import Caller
from case import Case, options, run_main


def body(arguments):
    with Case(arguments, keepers=1, entries=2) as case:
        fleet, history = case.fleet, case.history
        caller = Caller(fleet, history, "payer")
        caller.write("trials", "fees", patience_s=10)
        for fault in ("lost_answers", "half_answers", "foreign_ids", "double_answers"):
            for entry in fleet.entries:
                other = [e for e in fleet.entries if e is not entry]
                fleet.member_fault(fleet.primary("trials"), **{fault: 1})
                body_once = caller.write("trials", "fees", keyed=False, entries=[entry])
                case.require(body_once.outcome in ("ok", "unknown"),
                             f"{fault}: told {body_once.attempts} {body_once.errors}")
                fleet.member_fault(fleet.primary("trials"), **{fault: 1})
                operation = caller.write("trials", "fees", entries=[entry] + other,
                                         patience_s=20)
                case.require(operation.outcome == "ok", f"{fault}: {operation.errors[-3:]}")
                reply = caller.read("trials", "fees", entries=other, patience_s=10)
                case.require(reply.good, f"{fault}: read: {reply.error}")
        caller.close()
        history.judge(fleet)
    return history


run_main("lost-answer-with-key", body, options(__doc__, 23140).parse_args())
