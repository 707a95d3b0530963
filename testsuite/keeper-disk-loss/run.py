"""A keeper loses its disk under load; right after it is admitted again a second one loses
its own, and the leader is killed: no accepted configuration reverts, writes go on."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import time

import rpc
from case import Case, options, run_main
from fleet import FLEET_KEY
from workload import Workload

KEEPERS = 3
SETTLE_SECONDS = 20
LOAD_SECONDS = 1


def configure(fleet, base, change):
    """Has a configuration accepted; returns its version."""
    command = {"do": "change_configuration", "base": base, "change": change,
               "author": "case", "content": {}}
    keeper = next(one for one in fleet.keepers if one.running())
    answer = rpc.rpc_call(keeper.address, FLEET_KEY, "keeper.propose", {"command": command})
    return answer["outcome"]["version"]


def is_whole(fleet):
    """Whether a leader lists every keeper as a voter, and each says it is one."""
    leader = fleet.leader()
    if leader is None:
        return False
    try:
        status = fleet.keeper_status(leader)
        roles = [fleet.keeper_status(keeper)["role"] for keeper in fleet.keepers]
    except rpc.RpcError:
        return False
    return len(status["voters"]) == KEEPERS and "learner" not in roles


def lose(keeper):
    keeper.kill()
    keeper.lose_disk()
    keeper.start()


def body(arguments):
    with Case(arguments, keepers=KEEPERS, entries=3) as case:
        fleet, history = case.fleet, case.history
        load = Workload(fleet, history, arguments.seed).start()
        case.require(configure(fleet, 0, "first") == 1, "the first change is version 1")
        case.wait_for(lambda: is_whole(fleet), SETTLE_SECONDS, "all keepers vote")
        leader = fleet.leader()
        first, second = [keeper for keeper in fleet.keepers if keeper is not leader]
        lose(first)
        case.wait_for(lambda: is_whole(fleet), SETTLE_SECONDS, "the first is admitted")
        lose(second)
        leader.kill()
        leader.start()
        case.wait_for(lambda: is_whole(fleet), SETTLE_SECONDS, "the second is admitted")
        version = fleet.control_state()["configuration"]["version"]
        case.require(version == 1, f"version 1 is in force, not {version}")
        case.require(configure(fleet, 0, "first") == 1, "a resend gets its first version")
        case.require(configure(fleet, 1, "next") == 2, "the next change is version 2")
        time.sleep(LOAD_SECONDS)
        load.stop()
        fleet.wait_ready()
        history.judge(fleet)
    return history


run_main("keeper-disk-loss", body, options(__doc__, 23640).parse_args())
