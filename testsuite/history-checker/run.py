"""The history checker finds each kind of fault in made-up histories: a checker that finds
nothing must be right, not blind. Starts no process."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from caller import Caller, Reply
from case import options
from history import History

IDLE = {"slots": 5, "max_concurrent": 5, "refused_busy": 0, "refused_connections": 0}


class FakeMember:
    def __init__(self, name):
        self.name = name
        self.pid = 1

    def running(self):
        return True


class FakeFleet:
    """A primary and a replica with the data given."""

    service = "s"
    databases = ["d"]

    def __init__(self, data, replica=None, stats=None):
        self.members = [FakeMember("p"), FakeMember("r")]
        self._data = {"p": data, "r": data if replica is None else replica}
        self._stats = stats or IDLE

    def primary(self, _):
        return self.members[0]

    def members_of(self, _):
        return self.members

    def log(self, member):
        return {"data": self._data[member.name]}

    def position(self, _):
        return {"position": "1.1"}

    def stats(self, _):
        return self._stats

    def unexpected_exits(self):
        return []


def told(outcome, keys=("k",)):
    """A history of one write, x-1, that was told `outcome`."""
    history = History()
    caller = Caller(FakeFleet({}), history, "x")
    operation = history.begin(caller, "d", list(keys), "x-1")
    operation.add_attempt(Reply(outcome, 200 if outcome == "ok" else 503))
    history.finish(caller, operation)
    return history, caller


def judged(outcome, data, keys=("k",), **fleet):
    history, _ = told(outcome, keys)
    history.judge(FakeFleet(data, **fleet))
    return sorted({kind for kind, _ in history.violations})


def read_after(outcome, values):
    history, caller = told(outcome)
    for value in values:
        reply = Reply("ok", 200, {"rows": [value]})
        history.read(caller, "d", "k", reply, 0, 0)
    return sorted({kind for kind, _ in history.violations})


def answered(body, status=200):
    history = History()
    caller = Caller(FakeFleet({}), history, "x")
    reply = Reply(body.get("ran", "ok"), status, body, {"papaya-request": "r"},
                  body.get("error", ""))
    if status == 200:
        caller._check_answer(reply, "path", 1)
    else:
        caller._check_error(reply)
    return sorted({kind for kind, _ in history.violations})


def no_json():
    history = History()
    Caller(FakeFleet({}), history, "x")._parse(200, b'{"id":"r","ro', {})
    return sorted({kind for kind, _ in history.violations})


GOOD = {"id": "r", "rows": ["1"], "end": "r"}
CASES = [
    ("whole", judged("ok", {"k": "x-1"}), []),
    ("lost", judged("ok", {"k": "y-1"}), ["lost"]),
    ("doubled", judged("ok", {"k": "x-1,x-1"}), ["doubled"]),
    ("doubled, unknown", judged("unknown", {"k": "x-1,x-1"}), ["doubled"]),
    ("unknown, ran", judged("unknown", {"k": "x-1"}), []),
    ("unknown, did not run", judged("unknown", {}), []),
    ("not run", judged("no", {}), []),
    ("not run, ran", judged("no", {"k": "x-1"}), ["false_not_run"]),
    ("torn", judged("unknown", {"a": "x-1"}, ("a", "b")), ["torn_transaction"]),
    ("diverged", judged("ok", {"k": "x-1"}, replica={"k": "x-1,z"}), ["diverged"]),
    ("slots", judged("ok", {"k": "x-1"}, stats={**IDLE, "refused_busy": 1}),
     ["slots_exceeded"]),
    ("connections", judged("ok", {"k": "x-1"}, stats={**IDLE, "refused_connections": 1}),
     ["connections_exceeded"]),
    ("read own write", read_after("ok", ["x-1", "x-1,y"]), []),
    ("missed own write", read_after("ok", ["y"]), ["read_your_writes"]),
    ("missed all", read_after("ok", [None]), ["read_your_writes"]),
    ("went back", read_after("unknown", ["a,b", "a"]), ["went_back"]),
    ("changed", read_after("unknown", ["a,b", "a,c"]), ["went_back"]),
    ("good answer", answered(GOOD), []),
    ("another's answer", answered({**GOOD, "id": "q"}), ["mixed"]),
    ("another's end", answered({**GOOD, "end": "q"}), ["mixed"]),
    ("rows missing", answered({**GOOD, "rows": []}), ["partial"]),
    ("half answer", no_json(), ["partial"]),
    ("good error", answered({"error": "overloaded", "ran": "no"}, 503), []),
    ("error without ran", answered({"error": "overloaded", "ran": ""}, 503),
     ["malformed"]),
]

options(__doc__, 0).parse_args()
wrong = [(name, found, wanted) for name, found, wanted in CASES if found != wanted]
for name, found, wanted in wrong:
    print(f"history-checker: {name}: found {found}, wanted {wanted}")
print(f"history-checker: {len(CASES) - len(wrong)} of {len(CASES)} cases as they should be")
sys.exit(1 if wrong else 0)
