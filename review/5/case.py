"""A replica whose DELETE is not acknowledged goes on acknowledging commits for the primary until it
ends; the only other one receives nothing, and the primary crashes. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from database import Caller                                  # noqa: E402
from fleet import CannotRun, FRONT_PORT, run_case            # noqa: E402
from site_of_three import DRAIN_SECONDS, play_site           # noqa: E402

# The site's disruption replica_lag "deaf crash": deaf for 6.5 s at most.
DEAF_SECONDS = 6.5
# "If it receives no ack, it exits anyway, some seconds later."
SECONDS_WITHOUT_ACK = 3.0


async def play(record, trouble):
    async def events(site):
        service, fleet = site.service, site.fleet
        entry = fleet.entries[0]
        writer = await Caller(record, "writer", (entry.ip, FRONT_PORT), "orders1").open()
        if not await writer.write("plank", "first"):
            raise CannotRun("the first write is not acknowledged")
        site.leaver.drain()
        await asyncio.sleep(DRAIN_SECONDS + 0.2)
        # Every answer to the DELETE is lost on its way back.
        site.leaver.beats = False
        acked = await site.leaver.call_keepers("DELETE", "/-/instances/i-2", None,
                                               loses_answer=trouble)
        record("member i-2 sends DELETE, acknowledged:", acked)
        if acked:
            record("member i-2 ends")
            site.leaver.stop()
        await asyncio.sleep(0.8)
        if trouble:
            record("disruption: member i-3 receives nothing for", DEAF_SECONDS, "s")
            site.stayer.deaf = True
        acknowledged = 0
        for number in range(5):
            acknowledged += await writer.write("plank", f"order-{number}")
            await asyncio.sleep(0.1)
        if acknowledged < 5:
            raise CannotRun("writes with all members in place are not acknowledged")
        await asyncio.sleep(SECONDS_WITHOUT_ACK - 0.8 - 0.6)
        if trouble:
            record("member i-2 ends")
            site.leaver.stop()
            await asyncio.sleep(0.2)
            record("disruption: the primary i-1 crashes")
            site.primary.stop()
        for number in range(20):
            await writer.write("plank", f"later-{number}", seconds=0.25)
            if service.lost:
                break
        await asyncio.sleep(0.5)
        record("acknowledged commits that the promoted member lacks:", service.lost)
        return not service.lost
    return await play_site(record, ["norte-a", "centro-a"], events)


sys.exit(run_case(HERE, play))
