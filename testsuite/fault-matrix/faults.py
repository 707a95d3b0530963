"""The faults of the matrix. Each acts on one target process, or on its domain."""

import time

# How long a fault that ends by itself lasts.
LASTS_S = 1.5
LATE_MS = 400


def kill(cell, target):
    target.kill()
    time.sleep(LASTS_S)
    target.start()


def freeze(cell, target):
    target.freeze()
    time.sleep(2 * LASTS_S)
    target.thaw()


def cut_both_ways(cell, target):
    cell.fleet.cut(target.domain, "both")
    time.sleep(2 * LASTS_S)
    cell.fleet.heal()


def cut_one_way(cell, target):
    cell.fleet.cut(target.domain, "send")
    time.sleep(2 * LASTS_S)
    cell.fleet.heal()


def lose_disk(cell, target):
    """A keeper's disk goes only once all others hold the state: one is borne at a time."""
    if target in cell.fleet.keepers:
        cell.fleet.wait_for_voters()
    target.kill()
    target.lose_disk()
    time.sleep(LASTS_S)
    target.start()


def answers(name, count):
    """Every member misbehaves in its next `count` data answers."""
    def show(cell, target):
        for member in cell.fleet.members:
            if member.running() and not member.frozen():
                cell.fleet.member_fault(member, **{name: count})
        time.sleep(LASTS_S)
    return show


def late_answers(cell, target):
    for late_ms in (LATE_MS, 0):
        for member in cell.fleet.members:
            if member.running():
                cell.fleet.member_fault(member, late_ms=late_ms)
        time.sleep(LASTS_S)


def racing_operator(cell, target):
    cell.race_operators()
    time.sleep(LASTS_S)


FAULTS = {
    "kill": kill,
    "freeze": freeze,
    "cut both ways": cut_both_ways,
    "cut one way": cut_one_way,
    "lost disk": lose_disk,
    "late answer": late_answers,
    "doubled answer": answers("double_answers", 3),
    "half answer": answers("half_answers", 3),
    "foreign answer": answers("foreign_ids", 3),
    "lost answer": answers("lost_answers", 3),
    "racing operator": racing_operator,
}
