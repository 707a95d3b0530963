"""Answers of 16 MB arrive whole, through the near and the far entry, also to a reader
that is slow; the entries' memory stays bounded."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import json
import socket
import time

from caller import Caller
from case import Case, options, run_main

BLOB_BYTES = 16 * 1024 * 1024
SLOW_READERS = 8
# Less than the blobs that slow readers have outstanding.
MOST_GROWTH_KB = 64 * 1024


def resident_kb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def slow_reader(entry, service):
    host, port = entry.address.rsplit(":", 1)
    body = json.dumps({"statement": f"blob {BLOB_BYTES}", "mode": "read",
                       "deadline_ms": 20000, "caller": "slow"})
    connection = socket.create_connection((host, int(port)), 30)
    connection.sendall((f"POST /v1/{service}/trials/statements HTTP/1.1\r\nHost: x\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    return connection


def body(arguments):
    slots = {"slots": SLOW_READERS, "connections": 35}
    with Case(arguments, keepers=1, entries=2, member_settings=slots) as case:
        fleet, history = case.fleet, case.history
        caller = Caller(fleet, history, "printer")
        caller.deadline_ms = 20000
        caller.write("trials", "book", patience_s=10)
        for entry in fleet.entries:
            reply = caller.post(entry, "/v1/entry-books/trials/statements",
                                {"statement": f"blob {BLOB_BYTES}", "mode": "read",
                                 "deadline_ms": 20000, "caller": "printer"}, 1)
            whole = reply.good and len(reply.rows[0]) == BLOB_BYTES
            case.require(whole, f"{entry.name}: {reply.status} {reply.error}")
        before = [resident_kb(entry) for entry in fleet.entries]
        slow = [slow_reader(fleet.entries[i % 2], fleet.service)
                for i in range(SLOW_READERS)]
        time.sleep(4)
        growth = [resident_kb(e) - b for e, b in zip(fleet.entries, before)]
        print(f"memory of the entries grew by {growth} KB with {SLOW_READERS} slow readers")
        case.require(max(growth) < MOST_GROWTH_KB, f"memory grew by {growth} KB")
        for connection in slow:
            connection.close()
        after = caller.write("trials", "book", patience_s=20)
        case.require(after.outcome == "ok", f"writing afterwards: {after.errors[-3:]}")
        caller.close()
        history.judge(fleet)
    return history


run_main("big-answer", body, options(__doc__, 23160).parse_args())
