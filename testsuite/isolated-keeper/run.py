"""One keeper is cut off from the others for long while its entry still reaches it: accepted
configurations come into force at that entry too and never revert, and `papayactl status`
names the isolated keeper."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import rpc
from case import Case, options, run_main
from fleet import FLEET_KEY, DOMAINS

CHANGES = 3
# Longer than an entry stays away from its nearest keeper, and than the silence alarm. An
# entry that goes back may do so for a few milliseconds only: its events tell.
WATCH_SECONDS = 12
SHEET = "service,database,rank,setting,value,unit\nentry-books,,urgent,worth,{worth},\n"


def papayactl(case, arguments, *words):
    """Exit code and JSON of one command."""
    settings = os.path.join(case.fleet.folder, "papayactl.json")
    with open(settings, "w", encoding="utf-8") as file:
        json.dump({"keepers": [keeper.address for keeper in case.fleet.keepers],
                   "fleet_key": FLEET_KEY}, file)
    done = subprocess.run([os.path.join(arguments.bin, "papayactl"), *words, "--json",
                           "--settings", settings], capture_output=True, text=True,
                          timeout=60, check=False)
    return done.returncode, json.loads(done.stdout)


def apply(case, arguments, worth):
    sheet = os.path.join(case.fleet.folder, "sheet.csv")
    with open(sheet, "w", encoding="utf-8") as file:
        file.write(SHEET.format(worth=worth))
    code, answer = papayactl(case, arguments, "apply", sheet)
    case.require(code == 0, f"apply: {answer}")


def set_isolated(keeper, how):
    """Cuts or heals the links of one keeper to the other failure domains."""
    for name, _, _ in DOMAINS:
        if name != keeper.domain:
            rpc.rpc_call(keeper.address, FLEET_KEY, "process.fault",
                         {"domain": name, "cut": how})


def versions_in_force(entry):
    """The versions that came into force at one entry, in order."""
    answer = rpc.rpc_call(entry.settings["rpc"], FLEET_KEY, "process.events",
                          {"after": 0, "request": ""})
    return [int(event["detail"].rsplit(" ", 1)[1]) for event in answer["events"]
            if event["event"] == "configuration_in_force"]


def judge_versions(case, wanted):
    """Requires that the last version is in force everywhere and that none went back."""
    time.sleep(WATCH_SECONDS)
    for entry in case.fleet.entries:
        seen = versions_in_force(entry)
        case.require(seen == sorted(seen), f"{entry.name} went back: {seen}")
        case.require(seen and seen[-1] == wanted, f"in force at {entry.name}: {seen}")


def body(arguments):
    with Case(arguments, keepers=3, entries=3) as case:
        leader = case.fleet.leader()
        isolated = next(k for k in case.fleet.keepers if k is not leader)
        set_isolated(isolated, "both")
        for change in range(CHANGES):
            apply(case, arguments, change + 1)
        judge_versions(case, CHANGES)
        _, status = papayactl(case, arguments, "status")
        named = [alarm for alarm in status["alarms"] if isolated.name in alarm]
        case.require(named, f"the isolated keeper is not named: {status['alarms']}")
        set_isolated(isolated, "none")
        code, _ = papayactl(case, arguments, "show", "--wait-in-force", "30")
        case.require(code == 0, "not in force everywhere after the network healed")
    return case.history


run_main("isolated-keeper", body, options(__doc__, 22500).parse_args())
