"""An entry dies in the middle of a transaction: the database is left clean, and the
transaction's statements are nowhere. Where the entry held the member's connection, that
is at once; where it only forwarded, once the transaction was idle for too long."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from caller import Caller
from case import Case, options, run_main

CLOSED_SECONDS = 5
# An idle transaction is rolled back well before its lifetime of 30 s.
IDLE_SECONDS = 25


def gate_of(fleet):
    """The entry that holds the primary's connections."""
    record = fleet.control_state()["databases"][0]
    gate = next(m["gate"] for m in record["members"] if m["id"] == record["primary"])
    return next(e for e in fleet.entries if e.name == gate)


def open_transactions(fleet):
    return sum(fleet.stats(m)["open_transactions"] for m in fleet.members)


def body(arguments):
    with Case(arguments, keepers=1, entries=3) as case:
        fleet, history = case.fleet, case.history
        caller = Caller(fleet, history, "clerk")
        caller.write("trials", "book", patience_s=10)
        for entry in fleet.entries:
            holds = entry is gate_of(fleet)
            seconds = CLOSED_SECONDS if holds else IDLE_SECONDS
            operation = caller.transaction("trials", ["book", "fees"], entry,
                                           steps_hook=entry.kill)
            case.require(operation.outcome != "ok", "committed by a dead entry")
            case.wait_for(lambda: open_transactions(fleet) == 0, seconds,
                          f"{entry.name}'s transaction is rolled back")
            entry.start()
            fleet.wait_ready()
        after = caller.write("trials", "book", patience_s=20)
        case.require(after.outcome == "ok", f"writing afterwards: {after.errors[-3:]}")
        caller.close()
        history.judge(fleet)
        clean = "fees" not in fleet.log(fleet.primary("trials"))["data"]
        case.require(clean, "a statement of an uncommitted transaction remains")
    return history


run_main("transaction-entry-death", body, options(__doc__, 23100).parse_args())
