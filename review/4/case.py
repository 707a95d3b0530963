"""A read transaction that is open at a primary while it hands over, and a read of bounded staleness
after it. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from database import Caller, Member, Service            # noqa: E402
from fleet import CannotRun, FRONT_PORT, Fleet, run_case  # noqa: E402

SERVICE = "oficinas1"
MAX_STALENESS_MS = 1500
# The site's disruption replica_lag: 60 ms, 110 times as late, for 6 s; here for under 4 s.
LAG_SECONDS = 6.6
CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-orders", "database": "orders1", "pathPrefix": "/", "routeType": "primary",
         "timeoutMs": 800, "targetLatencyMs": 250, "priority": 0, "service": SERVICE,
         "maxAttempts": 2},
        {"name": "r-stock", "database": "stock1", "pathPrefix": "/",
         "routeType": "bounded_staleness", "timeoutMs": 1200, "targetLatencyMs": 500,
         "priority": 1, "service": SERVICE, "maxAttempts": 2,
         "maxStalenessMs": MAX_STALENESS_MS}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 28,
                  "protocol": "h1", "tls": False, "syncReplicas": 1}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000, "txIdleMs": 3000}}


async def until(condition, seconds, what):
    for _ in range(int(seconds / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise CannotRun("did not happen: " + what)


async def play_with(fleet, service, record, trouble):
    fleet.prepare(["norte-a", "centro-a"])
    near, far = fleet.entries
    network = fleet.network
    await service.serve_platform(fleet.platform)
    primary = Member(service, "i-1", "norte-b", (f"{network}.31", 8149), leads=True)
    second = Member(service, "i-2", "centro-a", (f"{network}.32", 8149))
    nearest = Member(service, "i-3", "norte-a", (f"{network}.33", 8149))
    fleet.start()
    for member in service.members:
        await member.start(fleet.controls())
    await fleet.put_config(CONFIG)
    await fleet.wait_ready()

    writer = await Caller(record, "writer", (far.ip, FRONT_PORT), "orders1").open()
    if not await writer.write("plank", "old"):
        raise CannotRun("the first write is not acknowledged")
    # All replicas apply the first write, also those that will fall behind.
    await asyncio.sleep(LAG_SECONDS + 0.4 if trouble else 2)
    # The transaction that only reads; it rests for less than txIdleMs between its statements.
    reader = await Caller(record, "tx-reader", (near.ip, FRONT_PORT), "orders1").open()
    stock = await Caller(record, "stock-reader", (near.ip, FRONT_PORT), "stock1").open()
    await reader.ask("BEGIN")
    code, rows, _ = await reader.ask("READ plank")
    if code or rows != ["old"]:
        raise CannotRun("the transaction did not read")
    if trouble:
        record("disruption: replicas apply", LAG_SECONDS, "s late from now on")
        for member in service.members:
            member.lag_seconds = LAG_SECONDS
        primary.drain()
        await until(lambda: service.primary is not primary, 2, "a planned change of the primary")
    acknowledged = await writer.write("plank", "new")
    written_at = record.now()
    if not acknowledged:
        raise CannotRun("the second write is not acknowledged")
    await asyncio.sleep(0.5)
    code, _, _ = await reader.ask("COMMIT")
    committed_at = record.now()
    if code:
        raise CannotRun("the read transaction was not committed: " + code)
    # Reads that begin more than maxStalenessMs after the acknowledgement of the write must see it.
    await asyncio.sleep(max(0.0, written_at + MAX_STALENESS_MS / 1000 + 0.1 - record.now()))
    stale = 0
    for _ in range(5):
        began = record.now()
        code, rows, _ = await stock.ask("READ plank")
        if not code and rows != ["new"]:
            stale += 1
            record(f"STALE: a read that began {began - written_at:.3f} s after the acknowledgement",
                   f"of the write (and {began - committed_at:.3f} s after the COMMIT) got", rows)
        await asyncio.sleep(0.05)
    record("stale reads:", stale)
    return stale == 0


async def play(record, trouble):
    fleet = Fleet(record)
    service = Service(record, SERVICE)
    try:
        return await play_with(fleet, service, record, trouble)
    finally:
        await service.close()
        fleet.close()


sys.exit(run_case(HERE, play))
