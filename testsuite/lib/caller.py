"""A caller of the service: one session that roams between entries."""

import http.client
import json
import time

# What a request ended as.
OK, NOT_RUN, UNKNOWN = "ok", "no", "unknown"

PAUSE_BEFORE_RETRY_S = 0.02


class Reply:
    """One attempt: what the entry answered, or that it did not."""

    def __init__(self, ran, status=0, body=None, headers=None, error="", advice=""):
        self.ran = ran
        self.status = status
        self.body = body or {}
        self.headers = headers or {}
        self.error = error
        self.advice = advice

    @property
    def good(self):
        return self.status in (200, 201)

    @property
    def rows(self):
        return self.body.get("rows", [])


class Caller:
    """One session. Not thread-safe."""

    def __init__(self, fleet, history, name, rank="normal", seed=None):
        self.fleet = fleet
        self.history = history
        self.name = name
        self.rank = rank
        self.random = seed
        self.token = ""
        self.deadline_ms = 2000
        self._connections = {}
        self._count = 0

    def close(self):
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def next_id(self):
        self._count += 1
        return f"{self.name}-{self._count}"

    def roam(self, entries=None):
        """An entry to send the next request to."""
        entries = entries or self.fleet.entries
        return self.random.choice(entries) if self.random else entries[0]

    # --- One attempt ---

    def post(self, entry, path, body, expect_rows=None):
        """Sends one request and checks the form of its answer."""
        reply = self._exchange(entry, path, body)
        if reply.status in (200, 201):
            self._check_answer(reply, path, expect_rows)
        elif reply.status:
            self._check_error(reply)
        token = reply.headers.get("papaya-session")
        if token:
            self.token = token
        return reply

    def _exchange(self, entry, path, body):
        headers = {"Content-Type": "application/json"}
        if self.token:
            headers["Papaya-Session"] = self.token
        connection = self._connections.pop(entry.name, None)
        timeout = body.get("deadline_ms", self.deadline_ms) / 1000 + 2
        if connection is None:
            host, port = entry.address.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
            try:
                connection.connect()
            except OSError as failed:
                connection.close()
                return Reply(NOT_RUN, error=f"not sent: {failed}", advice="now")
        try:
            connection.request("POST", path, json.dumps(body), headers)
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as failed:
            connection.close()
            return Reply(UNKNOWN, error=f"no answer: {failed!r}", advice="same_key_only")
        self._connections[entry.name] = connection
        found = {name.lower(): value for name, value in answer.getheaders()}
        return self._parse(answer.status, data, found)

    def _parse(self, status, data, headers):
        try:
            body = json.loads(data or b"{}")
        except ValueError:
            self.history.violation("partial", f"answer is no whole JSON: {data[:80]!r}")
            return Reply(UNKNOWN, 0, error="no JSON")
        if status in (200, 201):
            return Reply(OK, status, body, headers)
        return Reply(body.get("ran", ""), status, body, headers, body.get("error", ""),
                     body.get("retry", ""))

    def _check_answer(self, reply, path, expect_rows):
        if expect_rows is None:
            return
        request = reply.headers.get("papaya-request", "")
        if reply.body.get("id") != request or reply.body.get("end") != request:
            self.history.violation(
                "mixed", f"{path}: request {request}, answer {reply.body.get('id')}")
        if len(reply.rows) != expect_rows:
            self.history.violation(
                "partial", f"{path}: {len(reply.rows)} rows, {expect_rows} statements")

    def _check_error(self, reply):
        if reply.ran not in (OK, NOT_RUN, UNKNOWN, "yes") or not reply.error:
            self.history.violation("malformed", f"{reply.status}: {reply.body}")

    # --- Whole requests ---

    def _path(self, database):
        return f"/v1/{self.fleet.service}/{database}"

    def _request(self, statements, mode, **extra):
        return {"statements": statements, "mode": mode, "rank": self.rank,
                "caller": self.name, "deadline_ms": self.deadline_ms, **extra}

    def write(self, database, key, keyed=True, patience_s=0.0, entries=None):
        """Appends a unique id to `key`. With `keyed`, what may have run is asked again
        with the same idempotency key for `patience_s`; else it is sent once."""
        operation = self.history.begin(self, database, [key], self.next_id())
        extra = {"key": operation.id} if keyed else {"repeatable": False}
        body = self._request([f"append {key} {operation.id}"], "write", **extra)
        end = time.monotonic() + patience_s
        while True:
            reply = self.post(self.roam(entries), self._path(database) + "/statements",
                              body, 1)
            operation.add_attempt(reply)
            again = keyed or reply.ran == NOT_RUN
            if reply.good or not again or time.monotonic() >= end:
                break
            time.sleep(PAUSE_BEFORE_RETRY_S)
        self.history.finish(self, operation)
        return operation

    def read(self, database, key, entries=None, patience_s=0.0, **extra):
        """Reads `key` and judges it against what this session wrote and read."""
        body = self._request([f"get {key}"], "read", **extra)
        start = time.monotonic()
        while True:
            asked = self.history.now()
            reply = self.post(self.roam(entries), self._path(database) + "/statements",
                              body, 1)
            if reply.good or time.monotonic() >= start + patience_s:
                break
            time.sleep(PAUSE_BEFORE_RETRY_S)
        self.history.read(self, database, key, reply, asked, time.monotonic() - start)
        return reply

    def transaction(self, database, keys, entry=None, steps_hook=None):
        """Appends one unique id to each of `keys` in one transaction."""
        entry = entry or self.roam()
        operation = self.history.begin(self, database, keys, self.next_id())
        reply = self._run_transaction(entry, database, keys, operation, steps_hook)
        operation.add_attempt(reply)
        self.history.finish(self, operation)
        return operation

    def _run_transaction(self, entry, database, keys, operation, steps_hook):
        base = self._path(database) + "/transactions"
        opened = self.post(entry, base, self._request([], "write"))
        if not opened.good:
            # Nothing was committed, whatever became of the opening.
            return Reply(NOT_RUN, opened.status, error=opened.error)
        path = f"{base}/{opened.body['transaction']}"
        for key in keys:
            statement = f"append {key} {operation.id}"
            reply = self.post(entry, path + "/statements",
                              self._request([statement], "write"), 1)
            if not reply.good:
                self.post(entry, path + "/rollback", {})
                return Reply(NOT_RUN, reply.status, error=reply.error)
        if steps_hook:
            steps_hook()
        return self.post(entry, path + "/commit", {"key": operation.id})
