"""What callers asked and were told, judged against the final state of the members."""

import threading
import time

from caller import NOT_RUN, OK, UNKNOWN

KINDS = ("lost", "doubled", "read_your_writes", "went_back", "mixed", "partial",
         "false_not_run", "torn_transaction", "malformed", "slots_exceeded",
         "connections_exceeded", "crashed", "diverged", "other")


class Operation:
    """One write: its unique id was appended to each of its keys."""

    def __init__(self, ident, database, keys, rank, started):
        self.id = ident
        self.database = database
        self.keys = keys
        self.rank = rank
        self.started = started
        self.ended = started
        self.attempts = []
        self.errors = []

    def add_attempt(self, reply):
        self.attempts.append(OK if reply.good else (reply.ran or UNKNOWN))
        if not reply.good:
            self.errors.append(reply.error)

    @property
    def outcome(self):
        """The strongest thing that the caller was told."""
        if OK in self.attempts or "yes" in self.attempts:
            return OK
        return NOT_RUN if all(a == NOT_RUN for a in self.attempts) else UNKNOWN


class Session:
    """What one session may expect to read."""

    def __init__(self):
        self.written = {}
        self.seen = {}


class History:
    """Collects from all threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._sessions = {}
        self.operations = []
        self.violations = []
        self.reads = []
        self.acknowledged_at = []
        self._limits_before = {}

    @staticmethod
    def now():
        return time.monotonic()

    def violation(self, kind, text):
        with self._lock:
            self.violations.append((kind, text))

    def begin(self, caller, database, keys, ident):
        operation = Operation(ident, database, keys, caller.rank, self.now())
        with self._lock:
            self.operations.append(operation)
        return operation

    def finish(self, caller, operation):
        operation.ended = self.now()
        if operation.outcome != OK:
            return
        with self._lock:
            self.acknowledged_at.append(operation.ended)
            session = self._sessions.setdefault(caller.name, Session())
            for key in operation.keys:
                session.written.setdefault((operation.database, key), []).append(
                    operation.id)

    def read(self, caller, database, key, reply, started, seconds):
        with self._lock:
            self.reads.append((caller.rank, reply.good, seconds, reply.error))
            if not reply.good or len(reply.rows) != 1:
                return
            session = self._sessions.setdefault(caller.name, Session())
            values = [v for v in (reply.rows[0] or "").split(",") if v]
            place = (database, key)
            for ident in session.written.get(place, []):
                if ident not in values:
                    self.violations.append(
                        ("read_your_writes", f"{caller.name} wrote {ident} to {place}; "
                         f"read {values[-3:]}"))
                    break
            seen = session.seen.get(place, [])
            if values[:len(seen)] != seen:
                self.violations.append(
                    ("went_back", f"{caller.name} read {seen[-3:]} then {values[-3:]} "
                     f"of {place}"))
            session.seen[place] = values

    # --- Judging ---

    def note_limits(self, fleet):
        """Forgives what members refused before, where a fleet is used again."""
        for member in fleet.members:
            stats = fleet.stats(member)
            self._limits_before[member.pid] = (stats["refused_busy"],
                                               stats["refused_connections"])

    def judge(self, fleet):
        """Compares with the members' logs; call when all is mended and quiet."""
        for database in fleet.databases:
            self._judge_database(fleet, database)
        for member in fleet.members:
            self._judge_limits(fleet, member)
        for process in fleet.unexpected_exits():
            self.violation("crashed", f"{process.name} ended with {process.exit_code()}: "
                           f"{process.log_tail(3)}")

    def _judge_database(self, fleet, database):
        primary = fleet.primary(database)
        if primary is None:
            self.violation("other", f"{database} has no primary at the end")
            return
        final = fleet.log(primary)
        values = {key: [v for v in value.split(",") if v]
                  for key, value in final["data"].items()}
        for operation in self.operations:
            if operation.database == database:
                self._judge_operation(operation, values)
        self._judge_replicas(fleet, database, primary)

    def _judge_operation(self, operation, values):
        counts = [values.get(key, []).count(operation.id) for key in operation.keys]
        what = f"{operation.id} told {operation.attempts} found {counts}"
        if max(counts) > 1:
            self.violation("doubled", what)
        if min(counts) != max(counts):
            self.violation("torn_transaction", what)
        if operation.outcome == OK and min(counts) == 0:
            self.violation("lost", what)
        if operation.outcome == NOT_RUN and max(counts) > 0:
            self.violation("false_not_run", what)

    def _judge_replicas(self, fleet, database, primary):
        wanted = fleet.position(primary)["position"]
        end = time.monotonic() + 15
        behind = [m for m in fleet.members_of(database) if m is not primary]
        while behind and time.monotonic() < end:
            wanted = fleet.position(primary)["position"]
            behind = [m for m in behind
                      if m.running() and fleet.position(m)["position"] != wanted]
            time.sleep(0.05)
        for member in behind:
            found = fleet.position(member)
            self.violation("diverged", f"{member.name} is at {found}, the primary "
                           f"{primary.name} at {wanted}")
        texts = {str(fleet.log(m)["data"]) for m in fleet.members_of(database)
                 if m.running() and m not in behind}
        if len(texts) > 1:
            self.violation("diverged", f"members of {database} hold different data")

    def _judge_limits(self, fleet, member):
        if not member.running():
            return
        stats = fleet.stats(member)
        busy, connections = self._limits_before.get(member.pid, (0, 0))
        if stats["refused_busy"] > busy or stats["max_concurrent"] > stats["slots"]:
            self.violation("slots_exceeded", f"{member.name}: {stats}")
        if stats["refused_connections"] > connections:
            self.violation("connections_exceeded", f"{member.name}: {stats}")

    # --- Figures ---

    def count(self, kind):
        return sum(1 for found, _ in self.violations if found == kind)

    def acknowledged(self):
        return sum(1 for operation in self.operations if operation.outcome == OK)

    def longest_gap(self, after, before):
        """The longest time without an acknowledged write between two moments, s."""
        moments = [after] + sorted(t for t in self.acknowledged_at
                                   if after < t < before) + [before]
        return max(b - a for a, b in zip(moments, moments[1:]))

    def by_rank(self):
        """For each rank: asked, answered, and latency percentiles in milliseconds."""
        table = {}
        with self._lock:
            rows = [(o.rank, o.outcome == OK, o.ended - o.started)
                    for o in self.operations]
            rows += [(rank, good, seconds) for rank, good, seconds, _ in self.reads]
        for rank in sorted({row[0] for row in rows}):
            mine = [row for row in rows if row[0] == rank]
            times = sorted(1000 * seconds for _, good, seconds in mine if good)
            table[rank] = {"asked": len(mine), "answered": len(times),
                           "p50_ms": percentile(times, 0.50),
                           "p99_ms": percentile(times, 0.99)}
        return table


def percentile(ordered, share):
    """The value at `share` of an ordered list, rounded; 0 of an empty one."""
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)
