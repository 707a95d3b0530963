"""A small deployment on loopback addresses: the project's programs as the deploy file starts them, with
settings rendered from its templates, and stand-ins for the platform, the operator, members and clients.

Each machine has a loopback address of its own. The stand-ins answer as PROTOCOL.md says; members keep
one log per service in this process."""

import http.client
import http.server
import json
import os
import random
import re
import shutil
import socket
import socketserver
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeMs": 250, "skewMaxMs": 12000, "recoverS": 12, "fencingEnforced": True,
          "thawSlackMs": 300}
MEMORY_BYTES = 260 * 1024 * 1024  # memoryMb of an entry
HEARTBEAT_S = 1.2
LARGE_BYTES = 65536
KEPT_TAIL_BYTES = 4096  # holds the last two lines of an answer
LEAD_S = 10.0  # Traffic starts this long after the machines.


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """The placeholders that the project's templates use."""
    def value(match):
        path, _, as_json = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if as_json or isinstance(found, dict) else str(found)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
            self.file.flush()


class Machine:
    """A machine of the system with one process."""

    def __init__(self, site, name, role, zone, address):
        self.site, self.name, self.role = site, name, role
        self.zone, self.address = zone, address
        self.child = None

    def start(self, bootstrap):
        with open(os.path.join(ROOT, "deploy", self.role + ".json.in"), encoding="utf-8") as file:
            template = file.read()
        path = os.path.join(self.site.folder, self.name + ".json")
        text = render(template, self.site.fields(self, bootstrap))
        if self.role == "entry":
            # What the entry takes by itself where the platform reports the machine's memory.
            text = text.replace("{", f'{{ "caller_memory_bytes": {MEMORY_BYTES // 3},', 1)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        program = {"entry": "papayabridged", "keeper": "papayakeeper"}[self.role]
        # No process is started once the end of the script has begun.
        with self.site.starting, open(os.path.join(self.site.folder, self.name + ".log"), "ab") as log:
            if self.site.is_closed:
                return
            self.child = subprocess.Popen([os.path.join(ROOT, "target", "bin", program),
                                           "--settings", path], cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.site.record(f"platform starts {self.name} at {self.address}, bootstrap {bootstrap}")

    def kill(self):
        self.child.kill()
        self.child.wait()
        self.site.record(f"platform kills {self.name}")

    def running(self):
        return self.child is not None and self.child.poll() is None


class Service:
    """The log of one database service: its members hold and apply each commit at once."""

    def __init__(self, name):
        self.name, self.number, self.data = name, 0, {}
        self.lock = threading.Lock()


class MemberSession(socketserver.StreamRequestHandler):
    """One connection to a member."""

    def handle(self):
        try:
            self.serve()
        except (OSError, ValueError):
            pass

    def send(self, text):
        self.connection.sendall(text.encode())

    def ready(self, state):
        return f"READY {state} 1.{self.server.service.number}\r\n"

    def serve(self):
        member = self.server
        opening = self.rfile.readline().decode().split()
        expected = [member.service.name, member.member_id]
        if opening[:1] != ["STARTUP"] or [opening[1], *opening[3:4]] != expected:
            self.send("ERROR WRONGNODE\r\n")
            return
        self.send(self.ready("I"))
        state, writes = "I", {}
        for line in self.rfile:
            kind, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if kind != "QUERY":
                return
            request, _, text = rest.partition(" ")
            if text.startswith("AFTER "):
                text = text.split(" ", 2)[2]
            words = text.split(" ")
            verb, receipt = words[0], "-"
            rows = b""
            if request != "-":
                receipt = f"1.{member.member_id}.{request}"
                member.site.record(f"{member.member_id} runs {request} {text[:60]}")
            needs_lead = verb == "WRITE" or text == "BEGIN"
            if needs_lead and not member.is_primary:
                self.send(f"ERROR READONLY {member.member_id}\r\n" + self.ready(state))
                continue
            if verb == "BEGIN":
                state, writes = "T", {}
            elif verb == "WRITE" and state == "T":
                writes[words[1]] = words[2]
            elif verb in ("WRITE", "COMMIT"):
                changes = {words[1]: words[2]} if verb == "WRITE" else writes
                with member.service.lock:
                    member.service.data.update(changes)
                    member.service.number += 1 if changes else 0
                state = "I"
            elif verb == "ROLLBACK":
                state = "I"
            elif verb == "READ":
                rows = member.answer_read(words[1])
            elif verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
                role = "primary" if member.is_primary else "replica"
                rows = f"DATAROW {role} 1 1.{member.service.number} 0 0 0 1\r\n".encode()
            if len(rows) > LARGE_BYTES:
                self.connection.sendall(rows)
                rows = b""
            self.connection.sendall(rows + f"COMPLETE {receipt}\r\n{self.ready(state)}".encode())


class Member(socketserver.ThreadingTCPServer):
    """A member; it reports itself to the nodes that serve control."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, site, service, number, zone, address):
        super().__init__((address, site.member_port), MemberSession)
        self.site, self.service, self.zone = site, service, zone
        self.member_id = f"i-{service.name}-{number}"
        self.is_primary = number == 0
        self.born = int(time.time() * 1000)
        self.big_answer = b""
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self.report, daemon=True).start()

    def answer_read(self, item):
        if item == "big":
            return self.big_answer
        return f"DATAROW {self.service.data.get(item, 'none')}\r\n".encode()

    def report(self):
        sequence = 0
        nodes = list(self.site.keepers)
        while True:
            sequence += 1
            body = {"service": self.service.name, "zone": self.zone, "version": "v1",
                    "address": f"{self.server_address[0]}:{self.site.member_port}", "slots": 2,
                    "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": self.born,
                    "dbRole": "primary" if self.is_primary else "replica"}
            random.shuffle(nodes)
            for node in nodes:
                status, _ = self.site.call(node, "PUT", "/-/instances/" + self.member_id, body)
                if 200 <= status < 300:
                    break
            time.sleep(HEARTBEAT_S)


class Site:
    """Use as a context manager: all processes and the folder are gone at the end."""

    def __init__(self, case_folder, entries=6, services=3):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="papaya-case-")
        self.starting, self.is_closed = threading.Lock(), False
        random.seed()
        self.net = f"127.{random.randrange(40, 250)}.{random.randrange(1, 250)}."
        probe = self.net + "1"
        self.control_port, self.front_port = free_port(probe), free_port(probe)
        self.ready_port, self.member_port = free_port(probe), free_port(probe)
        self.rpc_port, self.cloud_port = free_port(probe), free_port(probe)
        self.zones = {"norte-a": "norte", "centro-a": "centro", "norte-b": "norte"}
        names = list(self.zones)
        self.keepers = [Machine(self, f"core-{names[i]}-1", "keeper", names[i], f"{self.net}{i + 1}")
                        for i in range(3)]
        self.entries = [Machine(self, f"front-{names[i % 3]}-{i // 3 + 1}", "entry", names[i % 3],
                                f"{self.net}{i + 11}") for i in range(entries)]
        self.services = [Service(f"s{i}") for i in range(services)]
        self.members = []

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        with self.starting:
            self.is_closed = True
        for machine in self.keepers + self.entries:
            if machine.running():
                machine.child.kill()
                machine.child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_members(self):
        """Members and the platform's address, which takes every promotion."""
        self.cloud = http.server.ThreadingHTTPServer((self.net + "200", self.cloud_port), Platform)
        threading.Thread(target=self.cloud.serve_forever, daemon=True).start()
        for row, service in enumerate(self.services):
            for column, zone in enumerate(self.zones):
                self.members.append(Member(self, service, column, zone,
                                           f"{self.net}{100 + 10 * row + column}"))

    def fields(self, machine, bootstrap):
        listen = {"control": f"{machine.address}:{self.control_port}"}
        if machine.role == "entry":
            listen = {"front": f"{machine.address}:{self.front_port}",
                      "ready": f"{machine.address}:{self.ready_port}"}
        return {"nodeName": machine.name, "zone": machine.zone, "region": self.zones[machine.zone],
                "zones": self.zones, "ip": machine.address, "listenAddrs": listen,
                "internalPorts": [self.rpc_port, self.rpc_port + 15],
                "seeds": [f"{keeper.address}:{self.control_port}" for keeper in self.keepers],
                "bootstrap": bootstrap, "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                "dataDir": os.path.join(self.folder, machine.name), "bounds": BOUNDS,
                "cloudApi": {"address": f"{self.net}200:{self.cloud_port}"}}

    def configuration(self, version):
        routes, services = [], []
        for service in self.services:
            services.append({"name": service.name, "healthPath": "/health", "maxConnections": 28,
                             "protocol": "h1", "tls": False, "syncReplicas": 1})
            for name, kind, rank, extra in (("orders", "primary", 0, {"timeoutMs": 800}),
                                            ("stock", "bounded_staleness", 1,
                                             {"timeoutMs": 1200, "maxStalenessMs": 1500})):
                routes.append({"name": f"r-{name}-{service.name}", "database": name + service.name,
                               "pathPrefix": "/", "routeType": kind, "targetLatencyMs": 500,
                               "priority": rank, "service": service.name, "maxAttempts": 2, **extra})
        return {"version": version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000, "txIdleMs": 3000}}

    def call(self, keeper, method, path, body=None):
        """Status and body of one HTTP call; status 0 if there is no answer within a second."""
        connection = http.client.HTTPConnection(keeper.address, self.control_port, timeout=1)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as problem:
            return 0, str(problem).encode()
        finally:
            connection.close()

    def publish(self, version, seconds):
        """The operator sends a config to one node after the other until it is acknowledged."""
        end, turn = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            keeper = self.keepers[turn % len(self.keepers)]
            status, answer = self.call(keeper, "PUT", "/-/config", self.configuration(version))
            self.record(f"operator sends config {version} to {keeper.name}: {status} "
                        f"{answer[:80].decode(errors='replace')}")
            if status == 200:
                return True
            turn += 1
            time.sleep(min(2.0, 0.2 * turn))
        return False


class Platform(http.server.BaseHTTPRequestHandler):
    """Takes promotions; no member is lost here, so the present primary stays."""

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


class Client:
    """A session of a client at one entry."""

    def __init__(self, site, entry, database, timeout=5):
        self.socket = socket.create_connection((entry.address, site.front_port), timeout)
        self.socket.sendall(f"STARTUP {database} u1\r\n".encode())
        opening = b""
        while not opening.endswith(b"\r\n"):
            piece = self.socket.recv(4096)
            if not piece:
                break
            opening += piece
        self.opening = opening.decode().rstrip()

    def query(self, request, text):
        """The line that ends the answer before READY, and the number of bytes before it."""
        self.socket.sendall(f"QUERY {request} {text}\r\n".encode())
        total, tail = 0, b""
        while True:
            piece = self.socket.recv(1024 * 1024)
            if not piece:
                return "the connection ended", total
            total += len(piece)
            tail = (tail + piece)[-KEPT_TAIL_BYTES:]
            lines = tail.split(b"\r\n")
            if tail.endswith(b"\r\n") and lines[-2].startswith(b"READY "):
                outcome = lines[-3].decode() if len(lines) > 2 else ""
                return outcome, total - len(lines[-2]) - len(outcome) - 4

    def close(self):
        self.socket.close()
