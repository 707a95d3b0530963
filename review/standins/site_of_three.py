"""What the scripts of cases 1 and 5 share: the configuration and a fleet with one service of three
members."""

import asyncio

from database import Member, Service
from fleet import CannotRun, Fleet

SERVICE = "oficinas1"
CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-orders", "database": "orders1", "pathPrefix": "/", "routeType": "primary",
         "timeoutMs": 800, "targetLatencyMs": 250, "priority": 0, "service": SERVICE,
         "maxAttempts": 2},
        {"name": "r-stock", "database": "stock1", "pathPrefix": "/",
         "routeType": "bounded_staleness", "timeoutMs": 1200, "targetLatencyMs": 500,
         "priority": 1, "service": SERVICE, "maxAttempts": 2, "maxStalenessMs": 1500}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 28,
                  "protocol": "h1", "tls": False, "syncReplicas": 1}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000, "txIdleMs": 3000}}
DRAIN_SECONDS = 7.0


async def until(condition, seconds, what):
    for _ in range(int(seconds / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise CannotRun("did not happen: " + what)


class Site:
    def __init__(self, record, entry_zones):
        self.record = record
        self.fleet = Fleet(record)
        self.service = Service(record, SERVICE)
        self.entry_zones = entry_zones

    async def start(self):
        fleet, service = self.fleet, self.service
        fleet.prepare(self.entry_zones)
        await service.serve_platform(fleet.platform)
        net = fleet.network
        self.primary = Member(service, "i-1", "norte-b", (f"{net}.31", 8149), leads=True)
        self.leaver = Member(service, "i-2", "centro-a", (f"{net}.32", 8149))
        self.stayer = Member(service, "i-3", "norte-a", (f"{net}.33", 8149))
        fleet.start()
        for member in service.members:
            await member.start(fleet.controls())
        await fleet.put_config(CONFIG)
        await fleet.wait_ready()

    async def close(self):
        await self.service.close()
        self.fleet.close()


async def play_site(record, entry_zones, play):
    site = Site(record, entry_zones)
    try:
        await site.start()
        return await play(site)
    finally:
        await site.close()
