"""One keeper, one entry of the users' platform and a stand-in for the only member of its service,
which speaks the text protocol. The member keeps no data, so that the memory of the test process
stays small."""

import http.client
import json
import os
import socket
import socketserver
import subprocess
import tempfile
import threading
import time

from fleet import FLEET_KEY, FleetError

SERVICE = "books"
DATABASE = "trials"
HEARTBEAT_S = 0.5
START_S = 30
STOP_S = 15


class MemberConnection(socketserver.StreamRequestHandler):
    """One connection of the entry: answers each line, one at a time."""

    def handle(self):
        phase = "I"
        try:
            for line in self.rfile:
                word, _, rest = line.rstrip(b"\r\n").partition(b" ")
                if word == b"STARTUP":
                    self.wfile.write(b"READY I 1.1\r\n")
                    continue
                text = rest.partition(b" ")[2]
                if text.startswith(b"AFTER "):
                    text = text.split(b" ", 2)[2]
                verb = text.partition(b" ")[0]
                if verb in (b"BEGIN", b"COMMIT", b"ROLLBACK"):
                    phase = "T" if verb == b"BEGIN" else "I"
                self.wfile.write(self.rows(verb) + f"COMPLETE r1\r\nREADY {phase} 1.1\r\n".encode())
        except OSError:
            pass

    def rows(self, verb):
        if verb == b"READ":
            return b"DATAROW value\r\n"
        return b"DATAROW primary 1 1.1 0 0 0 1\r\n" if verb == b"STATUS" else b""


class Member(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address):
        super().__init__(address, MemberConnection)
        threading.Thread(target=self.serve_forever, daemon=True).start()


def call(address, method, path, body=None):
    """Status of one HTTP call; 0 if there is no answer."""
    connection = http.client.HTTPConnection(*address, timeout=3)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def until(holds, seconds, what):
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise FleetError(f"not within {seconds} s: {what}")
        time.sleep(0.05)


class Process:
    """One daemon; its output goes to a file."""

    def __init__(self, folder, program, settings, prepare=None):
        self.name = settings["id"]
        path = os.path.join(folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.log = os.path.join(folder, self.name + ".log")
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([program, "--settings", path], stdout=log,
                                          stderr=log, preexec_fn=prepare)

    def running(self):
        return self.child.poll() is None

    def end(self):
        self.child.kill()
        self.child.wait()

    def status_kib(self, field):
        """A field of /proc/PID/status in KiB, such as VmRSS."""
        with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        raise FleetError(f"{self.name} has no {field}")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()


class TextSite:
    """Use as a context manager. Entries are started one at a time by start_entry()."""

    def __init__(self, programs, host, base_port):
        self.programs, self.host, self.port = programs, host, base_port
        self.folder = tempfile.TemporaryDirectory(prefix="papaya-text-")
        self.processes = []
        self.entry_count = 0
        self.running = True

    def __enter__(self):
        try:
            self.member = Member((self.host, self.port + 5))
            self.processes.append(Process(
                self.folder.name, os.path.join(self.programs, "papayakeeper"),
                self.keeper_settings()))
            control = (self.host, self.port + 1)
            until(lambda: call(control, "PUT", "/-/config", self.configuration()) == 200,
                  START_S, "the configuration is acknowledged")
            threading.Thread(target=self.announce_member, args=(control,), daemon=True).start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *failure):
        self.running = False
        for process in self.processes:
            process.end()
        self.member.shutdown()
        self.member.server_close()
        self.folder.cleanup()

    def common_settings(self, name):
        seed = f"{self.host}:{self.port}"
        return {"id": name, "domain": "a", "region": "r", "fleet_key": FLEET_KEY,
                "seeds": [seed], "keeper_port": self.port}

    def keeper_settings(self):
        return {**self.common_settings("k0"), "rpc": f"{self.host}:{self.port}",
                "data": os.path.join(self.folder.name, "data"), "first_start": True,
                "disks_that_may_be_lost": 0,
                "platform": {"control": f"{self.host}:{self.port + 1}",
                             "promotions": f"{self.host}:9"}}

    def configuration(self):
        return {"version": 1,
                "routes": [{"name": "r1", "database": DATABASE, "pathPrefix": "/",
                            "routeType": "primary", "timeoutMs": 2000,
                            "targetLatencyMs": 2000, "priority": 0, "service": SERVICE,
                            "maxAttempts": 2}],
                "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 20,
                              "protocol": "h1", "tls": False, "syncReplicas": 0}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000}}

    def announce_member(self, control):
        sequence, born = 0, int(time.time() * 1000)
        while self.running:
            sequence += 1
            call(control, "PUT", "/-/instances/m1", {
                "service": SERVICE, "zone": "a", "version": "v1",
                "address": f"{self.host}:{self.port + 5}", "slots": 20, "state": "ready",
                "coldLeftMs": 0, "dbRole": "primary", "sequence": sequence, "born": born})
            time.sleep(HEARTBEAT_S)

    def start_entry(self, settings=None, prepare=None):
        """A new entry, ready and with one statement served."""
        self.entry_count += 1
        port = self.port + 10 * self.entry_count
        entry = Process(
            self.folder.name, os.path.join(self.programs, "papayabridged"),
            {**self.common_settings(f"e{self.entry_count}"), "regions": {"a": "r"},
             "callers": f"{self.host}:{port}",
             "platform": {"ready": f"{self.host}:{port + 1}"}, **(settings or {})}, prepare)
        entry.address = (self.host, port)
        self.processes.append(entry)
        until(lambda: call((self.host, port + 1), "GET", "/-/ready") == 200, START_S,
              "the entry is ready")
        until(lambda: ask(entry.address, "WRITE x y"), START_S, "a statement is served")
        return entry


def ask(address, text):
    """Whether an ordinary caller gets an answer to one statement in a session of its own."""
    try:
        with socket.create_connection(address, timeout=5) as caller:
            caller.sendall(f"STARTUP {DATABASE} u1\r\n".encode())
            stream = caller.makefile("rb")
            if not stream.readline().startswith(b"READY"):
                return False
            caller.sendall(f"QUERY q1 {text}\r\n".encode())
            while True:
                line = stream.readline()
                if line.startswith(b"ERROR") or not line:
                    return False
                if line.startswith(b"READY"):
                    return True
    except OSError:
        return False
