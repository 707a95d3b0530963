"""A small fleet for the review's scripts: starts the keepers and entries of the deploy file as
processes, each at a loopback address of its own, with settings rendered from deploy/*.json.in.
Beside them, in this process: the platform's promotion call, the operator, and an HTTP client."""

import asyncio
import json
import os
import re
import signal
import socket
import random
import shutil
import subprocess
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
ZONES = {"norte-a": "norte", "norte-b": "norte", "centro-a": "centro"}
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeMs": 250, "skewMaxMs": 12000, "recoverS": 12, "fencingEnforced": True,
          "thawSlackMs": 300}
KEEPER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, PLATFORM_PORT = 7440, 8782, 8784, 8785, 8783
# The entry's and keeper's other ports, fixed in the templates.
FIXED_PORTS = (7450, 7451, 7452)


class CannotRun(Exception):
    """The case could not be played; run.sh exits with 2."""


class Record:
    """record.txt: what was sent, answered and run, in order, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        self.file.write(f"{self.now():9.4f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def http(address, method, path, body=None, headers=None, timeout=1.0):
    """Status and body of one call; status 0 if there is no whole answer in time."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}",
                     "Connection: close", "Content-Type: application/json",
                     f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            length = re.search(rb"content-length:\s*(\d+)", head, re.I)
            text = await reader.readexactly(int(length.group(1))) if length else await reader.read()
            return status, text.decode(errors="replace")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, ""


async def serve_http(address, answer):
    """Serves `answer(method, path, headers, body) -> (status, object)`, one call a connection."""
    async def serve(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.strip().split("\r\n")
            method, path, _ = first.split(" ", 2)
            headers = {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip()
                       for line in lines}
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status, value = await answer(method, path, headers, body)
            text = json.dumps(value).encode()
            writer.write(f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(serve, *address)


def free_network():
    """The first three numbers of loopback addresses at which none of the ports is in use."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (KEEPER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, PLATFORM_PORT,
                         *FIXED_PORTS):
                for last in (1, 11, 12, 13, 21, 22, 23):
                    with socket.socket() as trial:
                        trial.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Process:
    def __init__(self, name, zone, ip, program, settings, log):
        self.name, self.zone, self.ip, self.program = name, zone, ip, program
        self.settings, self.log = settings, log
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.program, "--settings", self.settings],
                                            cwd=REPOSITORY, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None


class Fleet:
    def __init__(self, record):
        self.record = record
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="papaya-review-")
        self.processes = {}
        self.seeds = []
        self.keepers, self.entries = [], []
        self.platform = (f"{self.network}.1", PLATFORM_PORT)

    def fields(self, name, zone, ip, data):
        return {"nodeName": name, "zone": zone, "region": ZONES[zone], "zones": ZONES, "ip": ip,
                "seeds": self.seeds, "bootstrap": True, "internalPorts": [KEEPER_PORT, 7455],
                "dataDir": data, "bounds": BOUNDS, "faultTolerance": {"machines": 1},
                "listenAddrs": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}",
                                "control": f"{ip}:{CONTROL_PORT}"},
                "cloudApi": {"address": f"{self.platform[0]}:{self.platform[1]}"}}

    def render(self, template, fields):
        def replace(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if match.group(2) or not isinstance(value, str) else value
        with open(os.path.join(REPOSITORY, "deploy", template), encoding="utf-8") as file:
            return PLACEHOLDER.sub(replace, file.read())

    def add(self, name, zone, ip, program, template):
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        settings = os.path.join(self.folder, name + ".json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.render(template, self.fields(name, zone, ip, data)))
        path = os.path.join(REPOSITORY, "target", "bin", program)
        if not os.path.exists(path):
            raise CannotRun(path + " is not built; run the build of deploy/system.toml")
        process = Process(name, zone, ip, path, settings, os.path.join(self.folder, name + ".log"))
        self.processes[name] = process
        return process

    def prepare(self, entry_zones):
        """Three keepers, one in each zone, and one entry for each of `entry_zones`."""
        zones = list(ZONES)
        self.seeds = [f"{self.network}.{11 + n}:{CONTROL_PORT}" for n in range(3)]
        for n in range(3):
            self.keepers.append(self.add(f"core-{zones[n]}-1", zones[n], f"{self.network}.{11 + n}",
                                         "papayakeeper", "keeper.json.in"))
        for n, zone in enumerate(entry_zones):
            self.entries.append(self.add(f"front-{zone}-{n + 1}", zone, f"{self.network}.{21 + n}",
                                         "papayabridged", "entry.json.in"))

    def start(self):
        for process in self.processes.values():
            process.start()

    def controls(self):
        return [(keeper.ip, CONTROL_PORT) for keeper in self.keepers]

    async def put_config(self, config):
        """The operator: sends one configuration until it is acknowledged."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            for address in self.controls():
                status, _ = await http(address, "PUT", "/-/config", config)
                if status == 200:
                    self.record("operator: version", config["version"], "acknowledged by",
                                address[0])
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def wait_ready(self):
        until = time.monotonic() + 20
        for entry in self.entries:
            while (await http((entry.ip, READY_PORT), "GET", "/-/ready"))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(entry.name + " does not become ready")
                await asyncio.sleep(0.1)

    def log_of(self, name):
        try:
            with open(os.path.join(self.folder, name + ".log"), encoding="utf-8",
                      errors="replace") as file:
                return file.read()
        except FileNotFoundError:
            return ""

    def leader(self):
        """The keeper that wrote last that it was elected; found in the keepers' own logs."""
        found = (0, None)
        for keeper in self.keepers:
            for line in self.log_of(keeper.name).splitlines():
                if '"leader_elected"' in line:
                    stamp = re.search(r'"stamp":(\d+)', line)
                    found = max(found, (int(stamp.group(1)), keeper.name))
        return self.processes[found[1]] if found[1] else None

    def close(self):
        for process in self.processes.values():
            process.end()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Plays `play(record, trouble) -> True if the rule held`; the exit code of run.sh."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE =", "1" if trouble else "0")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), 100))
    except Exception as problem:  # whatever ends the case early says nothing of the rule
        record("could not run:", repr(problem))
        print("could not run:", repr(problem))
        return 2
    record("the rule", "held" if held else "was broken")
    print("the rule", "held" if held else "was broken")
    return 0 if held else 1
