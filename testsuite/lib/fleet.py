"""Starts, breaks and stops a whole fleet of processes on loopback.

Every process gets its own address 127.0.DOMAIN.N; fleets with different base ports can
run side by side.
"""

import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

import rpc

FLEET_KEY = "a key for tests only"

# Failure domain, region, and the number of its addresses 127.0.NUMBER.x.
DOMAINS = [("saigon-a", "south", 1), ("cantho-a", "south", 2), ("hanoi-a", "north", 3)]
BETWEEN_DOMAINS_US = 1500
BETWEEN_REGIONS_US = 8000
REGION_BYTES_PER_SECOND = 3_750_000

# A watcher that claims to hold more than there is gets the whole state.
AHEAD_OF_ALL = 1 << 62

READY_SECONDS = 30
STOP_SECONDS = 20


class FleetError(Exception):
    """The fleet did not reach a state in time."""


def links_of(domain):
    """The emulated links of a process in `domain`."""
    region = next(r for name, r, _ in DOMAINS if name == domain)
    links = []
    for name, other_region, number in DOMAINS:
        link = {"prefix": f"127.0.{number}.", "domain": name, "region": other_region}
        if other_region != region:
            link["one_way_us"] = BETWEEN_REGIONS_US
            link["bytes_per_second"] = REGION_BYTES_PER_SECOND
        elif name != domain:
            link["one_way_us"] = BETWEEN_DOMAINS_US
        links.append(link)
    return links


def http_call(address, method, path, body=None, timeout=3.0):
    """Status and JSON body of one request; OSError if there is no answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text)
        answer = connection.getresponse()
        data = answer.read()
        try:
            return answer.status, json.loads(data or b"{}")
        except ValueError:
            return answer.status, data.decode(errors="replace")
    except http.client.HTTPException as failed:
        raise OSError(str(failed)) from failed
    finally:
        connection.close()


def wait_until(holds, seconds, what):
    """Polls until holds() is true; FleetError with `what` after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if holds():
                return
        except (OSError, rpc.RpcError):
            pass
        time.sleep(0.05)
    raise FleetError(f"not within {seconds} s: {what}")


class Process:
    """One process of the fleet; started again with the same settings after a kill."""

    def __init__(self, folder, program, name, settings, domain, address, data=None):
        self.program = program
        self.name = name
        self.domain = domain
        self.address = address
        self.settings = settings
        self.data = data
        self.expected_down = False
        self._file = os.path.join(folder, name + ".json")
        self._log = os.path.join(folder, name + ".log")
        self._child = None
        self._frozen = False

    def start(self):
        if self.data:
            os.makedirs(self.data, exist_ok=True)
        with open(self._file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file, indent=1)
        with open(self._log, "ab") as log:
            self._child = subprocess.Popen(
                [self.program, "--settings", self._file], stdout=log, stderr=log,
                start_new_session=True)
        self.expected_down = False

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child is not None and self._child.poll() is None

    def frozen(self):
        return self._frozen

    def exit_code(self):
        return None if self._child is None else self._child.poll()

    def kill(self):
        self.expected_down = True
        if self.running():
            self._child.kill()
            self._child.wait()
        self._frozen = False

    def freeze(self):
        os.kill(self.pid, signal.SIGSTOP)
        self._frozen = True

    def thaw(self):
        if self._frozen and self.running():
            os.kill(self.pid, signal.SIGCONT)
        self._frozen = False

    def lose_disk(self):
        """Deletes the data folder; call while the process is down."""
        shutil.rmtree(self.data, ignore_errors=True)

    def terminate(self):
        """Asks for a graceful stop."""
        self.expected_down = True
        if self.running():
            self._child.terminate()

    def wait(self, seconds=STOP_SECONDS):
        """The exit code; FleetError if it does not end."""
        try:
            return self._child.wait(seconds)
        except subprocess.TimeoutExpired as late:
            raise FleetError(f"{self.name} did not stop") from late

    def log_tail(self, lines=15):
        try:
            with open(self._log, encoding="utf-8", errors="replace") as file:
                return "".join(file.readlines()[-lines:])
        except OSError:
            return ""


class Fleet:
    """Keepers, entries and the members of the databases of one service."""

    def __init__(self, programs, base_port, keepers=1, entries=2, databases=("trials",),
                 members=3, service="entry-books", member_settings=None,
                 entry_settings=None, keeper_settings=None):
        self.service = service
        self.databases = list(databases)
        self._programs = programs
        self._base = base_port
        self.folder = tempfile.mkdtemp(prefix="papaya-fleet-")
        self.keepers = [self._keeper(i, keepers, keeper_settings or {})
                        for i in range(keepers)]
        self.entries = [self._entry(i, entry_settings or {}) for i in range(entries)]
        self.members = []
        for number, database in enumerate(self.databases):
            for i in range(members):
                self.members.append(
                    self._member(database, number, i, members, member_settings or {}))

    # --- Making ---

    def _place(self, i, first, port):
        name, region, number = DOMAINS[i % len(DOMAINS)]
        return name, region, f"127.0.{number}.{first + i}:{self._base + port}"

    def _program(self, name):
        return os.path.join(self._programs, name)

    def _data(self, name):
        return os.path.join(self.folder, "data", name)

    def _keeper(self, i, count, extra):
        domain, region, address = self._place(i, 200, 4)
        name = f"keeper-{i + 1}"
        peers = [{"id": f"keeper-{j + 1}", "rpc": self._place(j, 200, 4)[2]}
                 for j in range(count)]
        settings = {"id": name, "domain": domain, "region": region, "rpc": address,
                    "data": self._data(name), "fleet_key": FLEET_KEY, "peers": peers,
                    "links": links_of(domain), "test_faults": True, **extra}
        return Process(self.folder, self._program("papayakeeper"), name, settings, domain,
                       address, settings["data"])

    def _entry(self, i, extra):
        domain, region, address = self._place(i, 100, 2)
        name = f"entry-{i + 1}"
        nearest = sorted(self.keepers, key=lambda keeper: keeper.domain != domain)
        settings = {"id": name, "domain": domain, "region": region, "http": address,
                    "rpc": self._place(i, 100, 3)[2], "fleet_key": FLEET_KEY,
                    "data": self._data(name),
                    "keepers": [keeper.address for keeper in nearest],
                    "traffic_threads": 2, "links": links_of(domain),
                    "test_faults": True, **extra}
        return Process(self.folder, self._program("papayabridged"), name, settings,
                       domain, address, settings["data"])

    def _member(self, database, number, i, count, extra):
        places = [self._place(j, 10 + 10 * number, 1) for j in range(count)]
        domain, region, address = places[i]
        name = f"{database}-{i + 1}"
        entries = sorted(self.entries, key=lambda entry: entry.domain != domain)
        settings = {"service": self.service, "database": database, "member": name,
                    "listen": address, "domain": domain, "region": region,
                    "group_size": count, "slots": 5, "connections": 35,
                    "connect_ms": 12, "service_us": 500, "lag_ms": 5,
                    "peers": [place[2] for place in places if place[2] != address],
                    "entries": [entry.address for entry in entries],
                    "data": self._data(name), "links": links_of(domain), **extra}
        return Process(self.folder, self._program("papayadb"), name, settings, domain,
                       address, settings["data"])

    # --- Running ---

    def processes(self):
        return self.keepers + self.entries + self.members

    def start(self):
        for process in self.processes():
            process.start()
        self.wait_ready()
        return self

    def wait_ready(self, seconds=READY_SECONDS):
        """Waits until each entry is healthy and each database has a primary."""
        for entry in self.entries:
            if entry.running():
                wait_until(lambda at=entry: http_call(at.address, "GET", "/healthz")[0] == 200,
                           seconds, f"{entry.name} is healthy")
        for database in self.databases:
            wait_until(lambda name=database: self.primary(name) is not None, seconds,
                       f"{database} has a primary")

    def stop(self):
        """Ends every process that was started."""
        for process in self.processes():
            process.thaw()
            process.kill()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def unexpected_exits(self):
        """Processes that ended though nobody ended them."""
        return [process for process in self.processes()
                if not process.running() and not process.expected_down]

    # --- State ---

    def control_state(self):
        """The keepers' replicated state: the newest of those that answer, as one that has
        just come back without its disk answers with an empty one."""
        newest = None
        for keeper in self.keepers:
            if not keeper.running() or keeper.frozen():
                continue
            try:
                answer = rpc.rpc_call(keeper.address, FLEET_KEY, "keeper.watch",
                                      {"from": AHEAD_OF_ALL, "wait_ms": 0})
            except rpc.RpcError:
                continue
            is_newer = newest is None or answer["applied"] > newest["applied"]
            if "snapshot" in answer and is_newer:
                newest = answer
        if newest is None:
            raise FleetError("no keeper gives its state")
        return newest["snapshot"]

    def keeper_status(self, keeper):
        return rpc.rpc_call(keeper.address, FLEET_KEY, "keeper.status", {})

    def wait_for_voters(self):
        """Waits until every keeper takes part with all of the state."""
        def all_vote():
            roles = [self.keeper_status(keeper).get("role") for keeper in self.keepers]
            return "leader" in roles and set(roles) <= {"leader", "follower"}
        wait_until(all_vote, READY_SECONDS, "every keeper votes")

    def leader(self):
        """The keeper that leads, or None."""
        for keeper in self.keepers:
            if keeper.running() and not keeper.frozen():
                try:
                    if self.keeper_status(keeper).get("role") == "leader":
                        return keeper
                except rpc.RpcError:
                    continue
        return None

    def position(self, member):
        return http_call(member.address, "GET", "/control/position")[1]

    def members_of(self, database):
        return [m for m in self.members if m.settings["database"] == database]

    def primary(self, database):
        """The reachable member promoted at the highest term, or None."""
        best = None
        for member in self.members_of(database):
            if not member.running() or member.frozen():
                continue
            try:
                found = self.position(member)
            except OSError:
                continue
            if found["role"] == "primary" and (best is None or found["term"] > best[0]):
                best = (found["term"], member)
        return None if best is None else best[1]

    def log(self, member):
        """The log and the data of a member."""
        return http_call(member.address, "GET", "/log", timeout=20)[1]

    def stats(self, member):
        return http_call(member.address, "GET", "/stats")[1]

    # --- Faults ---

    def member_fault(self, member, **fault):
        status, _ = http_call(member.address, "POST", "/admin/fault", fault)
        if status != 200:
            raise FleetError(f"{member.name} refused the fault {fault}")

    def cut(self, domain, how="both"):
        """Cuts a domain off from the others: both ways, or only what it sends."""
        towards, back = {"both": ("both", "both"), "send": ("send", "receive"),
                         "none": ("none", "none")}[how]
        for process in self.processes():
            if not process.running() or process.frozen():
                continue
            if process.domain == domain:
                for other, _, _ in DOMAINS:
                    if other != domain:
                        self._cut_link(process, other, towards)
            else:
                self._cut_link(process, domain, back)

    def heal(self):
        for process in self.processes():
            if process.running() and not process.frozen():
                for name, _, _ in DOMAINS:
                    self._cut_link(process, name, "none")

    def _cut_link(self, process, domain, how):
        fault = {"domain": domain, "cut": how}
        if process in self.keepers:
            rpc.rpc_call(process.address, FLEET_KEY, "process.fault", fault)
            return
        try:
            status, body = http_call(process.address, "POST", "/admin/fault", fault)
        except OSError:
            # A process that was asked to stop may be gone by now.
            if process.expected_down:
                return
            raise
        if status != 200:
            raise FleetError(f"{process.name} refused the fault {fault}: {body}")

    def mend(self):
        """Ends every fault: thaws, heals, starts what is down."""
        for process in self.processes():
            process.thaw()
            if not process.running():
                process.start()
        wait_until(self._all_answer, READY_SECONDS, "all processes answer again")
        self.heal()
        for member in self.members:
            self.member_fault(member, freeze_replication=0, late_ms=0, half_answers=0,
                              foreign_ids=0, double_answers=0, lost_answers=0,
                              lag_ms=member.settings["lag_ms"])

    def _all_answer(self):
        for member in self.members:
            self.position(member)
        for entry in self.entries:
            http_call(entry.address, "GET", "/healthz")
        for keeper in self.keepers:
            self.keeper_status(keeper)
        return True
