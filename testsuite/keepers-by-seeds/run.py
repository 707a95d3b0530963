"""Keepers that find each other by seeds: the first start, a lost disk, a keeper that is gone
for good and replaced by an empty one at another address, and all killed at once. No
published configuration is lost, refused when it is sent again, or read in an older version."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import rpc
from case import options, run_main
from fleet import FLEET_KEY, http_call
from history import History

SETTLE_SECONDS = 20
DOMAINS = ["a", "b", "c", "b"]
SEEDS = 3


class SeedKeeper:
    """One keeper process at its own loopback address."""

    def __init__(self, arguments, folder, number):
        self.arguments = arguments
        self.number = number
        self.host = f"127.0.9.{number + 1}"
        self.folder = os.path.join(folder, f"keeper-{number}")
        self.process = None

    def rpc(self):
        return f"{self.host}:{self.arguments.base_port}"

    def control(self):
        return f"{self.host}:{self.arguments.base_port + 1}"

    def start(self, first=False):
        os.makedirs(self.folder, exist_ok=True)
        settings = {
            "id": f"k{self.number}", "domain": DOMAINS[self.number], "region": "r",
            "rpc": self.rpc(), "data": os.path.join(self.folder, "data"),
            "fleet_key": FLEET_KEY, "keeper_port": self.arguments.base_port,
            "seeds": [f"127.0.9.{n + 1}:9" for n in range(SEEDS)],
            "first_start": first, "disks_that_may_be_lost": 1,
            "platform": {"control": self.control(), "promotions": "127.0.9.9:9"},
        }
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(self.arguments.bin, "papayakeeper"), "--settings", path],
                stdout=log, stderr=log)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def lose_disk(self):
        shutil.rmtree(os.path.join(self.folder, "data"))

    def voters(self):
        answer = rpc.rpc_call(self.rpc(), FLEET_KEY, "keeper.status", {})
        return sorted(answer["voters"]) if answer["role"] == "leader" else None


def publish(keepers, version):
    """Sends a version until one keeper acknowledges it."""
    body = {"version": version, "routes": [], "services": [], "limits": {}}
    end = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < end:
        for keeper in keepers:
            try:
                status, _ = http_call(keeper.control(), "PUT", "/-/config", body)
            except OSError:
                continue
            if status == 200:
                return True
        time.sleep(0.1)
    return False


def read_version(keeper):
    """The version that one keeper gives; None if it gives none."""
    try:
        status, body = http_call(keeper.control(), "GET", "/-/config")
    except OSError:
        return None
    return body["version"] if status == 200 else None


def holds_everywhere(history, keepers, version, what):
    """Every keeper comes to give `version`, and none an older one."""
    waiting = list(keepers)
    end = time.monotonic() + SETTLE_SECONDS
    while waiting and time.monotonic() < end:
        for keeper in list(waiting):
            given = read_version(keeper)
            if given == version:
                waiting.remove(keeper)
            elif given is not None:
                history.violation("other", f"{what}: k{keeper.number} gives {given}")
                return
        time.sleep(0.05)
    if waiting:
        history.violation("other", f"{what}: not all give version {version}")


def watched_version(answer):
    """The version of the configuration in an answer to keeper.watch from the start."""
    if "snapshot" in answer:
        return answer["snapshot"]["pool"]["version"]
    published = [one["command"]["version"] for one in answer["commands"]
                 if one["command"]["do"] == "publish_configuration"]
    return max(published, default=0)


def wait_for_newest(history, keeper, version):
    """A watch from the start says that it is the newest state only where it is."""
    question = {"from": 0, "wait_ms": 0, "confirm": True}
    end = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < end:
        try:
            answer = rpc.rpc_call(keeper.rpc(), FLEET_KEY, "keeper.watch", question)
        except (OSError, rpc.RpcError):
            time.sleep(0.02)
            continue
        if answer["newest"]:
            given = watched_version(answer)
            if given != version:
                history.violation("other", f"version {given} is called the newest")
            return
    history.violation("other", "no watch gives the newest state")


def wait_for_voters(history, keepers, expected, what):
    end = time.monotonic() + SETTLE_SECONDS
    seen = None
    while time.monotonic() < end:
        for keeper in keepers:
            try:
                seen = keeper.voters() or seen
            except (OSError, rpc.RpcError):
                pass
        if seen == expected:
            return
        time.sleep(0.1)
    history.violation("other", f"{what}: voters {seen}, not {expected}")


def steps(history, keepers):
    first = keepers[:SEEDS]
    for keeper in first:
        keeper.start(first=True)
    if not publish(first, 5):
        history.violation("other", "the first configuration is never acknowledged")
        return
    holds_everywhere(history, first, 5, "first start")

    first[0].kill()
    first[0].lose_disk()
    if not publish(first[1:], 9):
        history.violation("other", "no acknowledgement with one disk lost")
    first[0].start()
    holds_everywhere(history, first, 9, "lost disk")
    wait_for_voters(history, first, ["k0", "k1", "k2"], "lost disk")

    first[1].kill()
    keepers[3].start()
    left = [first[0], first[2], keepers[3]]
    wait_for_voters(history, left, ["k0", "k2", "k3"], "replaced")
    if not publish(left, 12):
        history.violation("other", "no acknowledgement after a replacement")
    holds_everywhere(history, left, 12, "replaced")
    if not publish(left, 12) or not publish(left, 9):
        history.violation("other", "a resent configuration is refused")

    for keeper in left:
        keeper.kill()
    for keeper in left:
        keeper.start()
    wait_for_newest(history, left[0], 12)
    holds_everywhere(history, left, 12, "all killed")


def body(arguments):
    history = History()
    folder = tempfile.mkdtemp(prefix="papaya-seeds-")
    keepers = [SeedKeeper(arguments, folder, n) for n in range(len(DOMAINS))]
    try:
        steps(history, keepers)
        if history.violations:
            for keeper in keepers:
                log = os.path.join(keeper.folder, "log")
                if os.path.exists(log):
                    with open(log, encoding="utf-8") as text:
                        print(f"--- k{keeper.number}\n" + text.read()[-3000:],
                              file=sys.stderr)
    finally:
        for keeper in keepers:
            keeper.kill()
        shutil.rmtree(folder, ignore_errors=True)
    return history


run_main("keepers-by-seeds", body, options(__doc__, 23740).parse_args())
