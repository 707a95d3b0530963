"""Runs the commands of the operators' pages as they stand there, against a fleet.

A fenced block marked `console` holds commands, each behind "$ ". A command must exit with
0, or with N where its line ends in "# exits N". Blocks of other kinds are not run.
"""

import argparse
import http.client
import json
import os
import re
import shlex
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "testsuite", "lib"))

from fleet import FLEET_KEY, Fleet, wait_until

PAGES = ["CONFIG.md", "SHEET.md", "OPERATIONS.md"]
COMMAND_SECONDS = 60
# A fleet that has just started may still move a database.
SETTLE_SECONDS = 20
BLOCK = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
EXITS = re.compile(r"\s*# exits (\d+)$")
# What papayactl must print, for commands whose exit code alone says little.
PRINTS = {
    "apply examples/entry-books.csv --change day-1 --author linh": "accepted as version 1",
    "apply examples/entry-books.csv --base 0": "version 1 by linh (change day-1)",
    "show --wait-in-force": "in force at entry-1",
    "status --settings": "alarms: none",
    "timeline --settings": "leader_elected",
    "explain REQUEST": "was refused by entry-1",
    "explain nosuch": "is not known to any process",
    "drain entry-2": "entry entry-2 drains",
    "drain nosuch": "there is no entry nosuch",
}


def commands_of(page):
    """(line, expected exit code) of each command in a page."""
    with open(os.path.join(ROOT, "docs", page), encoding="utf-8") as file:
        text = file.read()
    for block in BLOCK.findall(text):
        for line in block.splitlines():
            if line.startswith("$ "):
                exits = EXITS.search(line)
                yield EXITS.sub("", line[2:]), int(exits.group(1)) if exits else 0


def refused_request(fleet):
    """The id of a request that an entry refused: it names an unknown database."""
    host, port = fleet.entries[0].address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("POST", f"/v1/{fleet.service}/nosuch/read",
                       json.dumps({"statements": ["x"]}))
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.getheader("Papaya-Request") or "none"


def run(line, expected, folder, programs, request):
    """Runs one command; the problem, or None."""
    words = shlex.split(line.replace("REQUEST", request))
    command = [os.path.join(programs, words[0])] + words[1:]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True,
                          timeout=COMMAND_SECONDS, check=False)
    print(f"$ {line}  -> {done.returncode}")
    output = done.stdout + done.stderr
    if done.returncode != expected:
        return f"{line}: exits {done.returncode}, the page says {expected}\n{output}"
    if "--json" in words:
        json.loads(done.stdout)
        return None
    for start, text in PRINTS.items():
        if line.startswith("papayactl " + start) and text not in output:
            return f"{line}: does not print \"{text}\"\n{output}"
    return None


def settled(folder, programs):
    """Whether the fleet has no alarms."""
    done = subprocess.run([os.path.join(programs, "papayactl"), "status", "--json",
                           "--settings", "papayactl.json"], cwd=folder,
                          capture_output=True, text=True, timeout=COMMAND_SECONDS,
                          check=False)
    return json.loads(done.stdout).get("alarms") == []


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    parser.add_argument("--base-port", type=int, default=22200)
    arguments = parser.parse_args()
    programs = os.path.abspath(arguments.bin)
    fleet = Fleet(programs, arguments.base_port, keepers=1, entries=3)
    problems = []
    count = 0
    try:
        fleet.start()
        with tempfile.TemporaryDirectory(prefix="papaya-pages-") as folder:
            os.symlink(os.path.join(ROOT, "examples"), os.path.join(folder, "examples"))
            with open(os.path.join(folder, "papayactl.json"), "w", encoding="utf-8") as file:
                json.dump({"keepers": [k.address for k in fleet.keepers],
                           "fleet_key": FLEET_KEY}, file)
            request = refused_request(fleet)
            wait_until(lambda: settled(folder, programs), SETTLE_SECONDS, "no alarms")
            for page in PAGES:
                for line, expected in commands_of(page):
                    count += 1
                    problems.append(run(line, expected, folder, programs, request))
    finally:
        fleet.stop()
        fleet.remove()
    problems = [problem for problem in problems if problem]
    for problem in problems:
        print(problem)
    print(f"operator-pages: {count} commands, {len(problems)} problems")
    return 1 if problems or count == 0 else 0


sys.exit(main())
