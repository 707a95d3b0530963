"""A replica leaves as planned, the only other one receives nothing, the leading keeper is killed,
and then the primary crashes. See claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from database import Caller                                  # noqa: E402
from fleet import CannotRun, FRONT_PORT, run_case            # noqa: E402
from site_of_three import DRAIN_SECONDS, play_site           # noqa: E402

# The site's disruptions: replica_lag "deaf" for 6.5 s, node_kill "leader", srv_crash "primary" for
# 7 s.
DEAF_SECONDS, DOWN_SECONDS = 6.5, 7.0
# With KEEP_LEADER=1 the leading keeper is not killed; the rule then holds.
KILLS_LEADER = os.environ.get("KEEP_LEADER") != "1"


async def play(record, trouble):
    async def events(site):
        service, fleet = site.service, site.fleet
        entry = fleet.entries[0]
        writer = await Caller(record, "writer", (entry.ip, FRONT_PORT), "orders1").open()
        if not await writer.write("plank", "first"):
            raise CannotRun("the first write is not acknowledged")
        # Planned shutdown of a replica: draining, drainMs after the ack DELETE, then it ends.
        site.leaver.drain()
        await asyncio.sleep(DRAIN_SECONDS - 0.5)
        if trouble:
            record("disruption: member i-3 receives nothing for", DEAF_SECONDS, "s")
            site.stayer.deaf = True
        acknowledged = 0
        for number in range(5):
            acknowledged += await writer.write("plank", f"order-{number}")
            await asyncio.sleep(0.1)
        if acknowledged < 5:
            raise CannotRun("writes with all members in place are not acknowledged")
        acked = await site.leaver.call_keepers("DELETE", "/-/instances/i-2", None)
        record("member i-2 sends DELETE, acknowledged:", acked, "and ends")
        site.leaver.beats = False
        site.leaver.stop()
        await asyncio.sleep(0.3)
        if trouble:
            if KILLS_LEADER:
                leader = fleet.leader()
                record("disruption: the leading keeper", leader.name, "is killed")
                leader.send(signal.SIGKILL)
                await asyncio.sleep(0.3)
                leader.start()
                await asyncio.sleep(1.2)
            record("disruption: the primary i-1 crashes for", DOWN_SECONDS, "s")
            site.primary.stop()
        # The caller goes on with its orders; no one else reports that a primary is lost.
        for number in range(20):
            await writer.write("plank", f"later-{number}", seconds=0.25)
            if service.lost:
                break
        await asyncio.sleep(0.5)
        record("acknowledged commits that the promoted member lacks:", service.lost)
        return not service.lost
    return await play_site(record, ["norte-a", "centro-a"], events)


sys.exit(run_case(HERE, play))
