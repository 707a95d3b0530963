"""One liveness report of another writer whose zone is no readable text. See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from database import Caller                                            # noqa: E402
from fleet import CannotRun, CONTROL_PORT, FRONT_PORT, http, run_case   # noqa: E402
from site_of_three import CONFIG, SERVICE, play_site                   # noqa: E402

# "At the end of a day, the operator requests it repeatedly for at least `contactMs`" (4000).
READ_BACK_SECONDS = 20.0
# What json.dumps() of Python writes for a name that holds the byte 0x80 (surrogateescape).
UNREADABLE = "\udc80"


async def report_of_another_writer(record, address):
    """One report, to one node: callers pick among those that serve `control`."""
    body = {"service": SERVICE, "address": "127.9.9.9:8149", "zone": "norte-a" + UNREADABLE,
            "version": "v1", "slots": 2, "state": "ready", "coldLeftMs": 0, "dbRole": "replica",
            "sequence": 1, "born": int(time.time() * 1000)}
    status, text = await http(address, "PUT", "/-/instances/i-other", body)
    record("another writer's report to", address[0], "zone", ascii(body["zone"]), "->", status,
           text[:80])


async def read_back(record, controls, version):
    """Reads the configuration until it comes, for READ_BACK_SECONDS; True if it is the newest."""
    until = time.monotonic() + READ_BACK_SECONDS
    asked = 0
    while time.monotonic() < until:
        for address in controls:
            status, text = await http(address, "GET", "/-/config")
            asked += 1
            if status == 200:
                record("operator reads at", address[0], "after", asked, "calls: 200", text[:40])
                return f'"version": {version},' in text
            if asked <= 6:
                record("operator reads at", address[0], "->", status, text[:80])
        await asyncio.sleep(0.2)
    record("operator has read", asked, "times, no configuration came")
    return False


async def play(record, trouble):
    async def events(site):
        fleet = site.fleet
        writer = await Caller(record, "writer", (fleet.entries[0].ip, FRONT_PORT), "orders1").open()
        if not await writer.write("plank", "first"):
            raise CannotRun("the first write is not acknowledged")
        await fleet.put_config(dict(CONFIG, version=8))
        await asyncio.sleep(1)
        if trouble:
            # It happens to pick the keeper that leads.
            leader = fleet.leader()
            if leader is None:
                raise CannotRun("no keeper leads")
            await report_of_another_writer(record, (leader.ip, CONTROL_PORT))
        await asyncio.sleep(1)
        # A further valid change; it may or may not be acknowledged.
        newest = 8
        for address in fleet.controls():
            status, text = await http(address, "PUT", "/-/config", dict(CONFIG, version=9))
            record("operator: version 9 to", address[0], "->", status, text[:80])
            if status == 200:
                newest = 9
                break
        came = await read_back(record, fleet.controls(), newest)
        for keeper in fleet.keepers:
            record("keeper", keeper.name, "runs:", not keeper.has_ended())
        return came
    return await play_site(record, ["norte-a", "centro-a"], events)


sys.exit(run_case(HERE, play))
