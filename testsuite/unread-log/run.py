"""A keeper whose standard output nobody reads goes on answering, and says afterwards how many
lines it held back: its pipe is full long before the last request. One whose reader is gone
goes on, too."""

import http.client
import json
import os
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from case import options, run_main
from fleet import FLEET_KEY
from history import History

HOST = "127.0.9.41"
# Each is refused with a line of its own of some hundred bytes; a pipe holds 64 KiB and the
# keeper's own queue 512 KiB.
REFUSALS = 6000
REFUSALS_WITHOUT_READER = 500
ANSWER_SECONDS = 2.0
START_SECONDS = 20
STOP_SECONDS = 10


def settings_of(arguments, folder):
    port = arguments.base_port
    return {
        "id": "k0", "domain": "a", "region": "r", "rpc": f"{HOST}:{port}",
        "data": os.path.join(folder, "data"), "fleet_key": FLEET_KEY, "keeper_port": port,
        "seeds": [f"{HOST}:9"], "first_start": True, "disks_that_may_be_lost": 0,
        "log": {"changes_a_second": 100000},
        "platform": {"control": f"{HOST}:{port + 1}", "promotions": f"{HOST}:9"},
    }


def started(port):
    """A connection to the keeper's control address once it listens."""
    end = time.monotonic() + START_SECONDS
    while True:
        connection = http.client.HTTPConnection(HOST, port, timeout=ANSWER_SECONDS)
        try:
            connection.connect()
            return connection
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


def refuse_many(connection, count, history):
    """Sends configurations that name everything wrongly; each must be answered."""
    body = json.dumps({"version": "none", "routes": [{"name": "x" * 40}], "services": 5})
    for number in range(count):
        connection.request("PUT", "/-/config", body)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 400:
            history.violation("other", f"request {number} got {answer.status}")
            return


def judge_log(text, history):
    """Every refusal has its line or is counted as held back."""
    written = held_back = 0
    for line in text.splitlines():
        event = json.loads(line)
        if event["event"] == "configuration_refused":
            written += 1
        elif event["event"] == "lines_held_back" and event["of"] == "configuration_refused":
            held_back += event["lines"]
    print(f"{written} lines written, {held_back} held back")
    if held_back == 0:
        history.violation("other", "nothing was held back: the pipe was not full")
    if written + held_back > REFUSALS:
        history.violation("other", f"{written} + {held_back} lines of {REFUSALS} refusals")


def start(arguments, folder):
    path = os.path.join(folder, "settings.json")
    with open(path, "w", encoding="utf-8") as out:
        json.dump(settings_of(arguments, folder), out)
    return subprocess.Popen(
        [os.path.join(arguments.bin, "papayakeeper"), "--settings", path],
        stdout=subprocess.PIPE)


def play_unread(arguments, keeper, history):
    """Nobody reads until the end; then what was held back is said."""
    refuse_many(started(arguments.base_port + 1), REFUSALS, history)
    keeper.terminate()
    text, _ = keeper.communicate(timeout=STOP_SECONDS)
    judge_log(text.decode(), history)


def play_closed(arguments, keeper, history):
    """The reader is gone from the start."""
    keeper.stdout.close()
    refuse_many(started(arguments.base_port + 1), REFUSALS_WITHOUT_READER, history)
    if keeper.poll() is not None:
        history.violation("other", f"ended by itself with {keeper.returncode}")
    keeper.terminate()
    code = keeper.wait(timeout=STOP_SECONDS)
    if code != 0:
        history.violation("other", f"without a reader: stopped with {code}")


def body(arguments):
    history = History()
    for play in (play_unread, play_closed):
        with tempfile.TemporaryDirectory() as folder:
            keeper = start(arguments, folder)
            try:
                play(arguments, keeper, history)
            finally:
                keeper.kill()
                keeper.wait()
    return history


run_main("unread-log", body, options(__doc__, 23960).parse_args())
