"""The steps of the matrix. Each starts the step on a cell's fleet and returns the process
that the fault is to hit."""

import time

# A fault comes a little after its step began; up to this, by the seed.
LONGEST_DELAY_S = 0.4


def delay(cell):
    time.sleep(cell.dice.random() * LONGEST_DELAY_S)


def one_shot_write(cell):
    return cell.fleet.primary(cell.database)


def transaction(cell):
    return cell.primary_gate()


def promotion(cell):
    """The primary dies; the fault hits an entry that may be driving the promotion."""
    primary = cell.fleet.primary(cell.database)
    primary.kill()
    cell.started_down.append(primary)
    delay(cell)
    return cell.driver() or cell.primary_gate()


def gate_move(cell):
    """The primary's gate dies; the fault hits the primary."""
    primary = cell.fleet.primary(cell.database)
    gate = cell.primary_gate()
    gate.kill()
    cell.started_down.append(gate)
    delay(cell)
    return primary


def configuration_change(cell):
    """The fault hits the leading keeper while changes are made."""
    cell.start_changes(1000)
    delay(cell)
    return cell.fleet.leader() or cell.fleet.keepers[0]


def snapshot(cell):
    """Many changes make a keeper write snapshots; the fault hits a follower."""
    cell.start_changes(1000, pause_s=0.0)
    delay(cell)
    leader = cell.fleet.leader()
    return next(k for k in cell.fleet.keepers if k is not leader)


def rejoin(cell):
    """A keeper comes back without its disk; the fault hits the leader meanwhile."""
    cell.start_changes(1000)
    leader = cell.fleet.leader() or cell.fleet.keepers[0]
    returning = next(k for k in cell.fleet.keepers if k is not leader)
    returning.kill()
    returning.lose_disk()
    returning.start()
    delay(cell)
    return cell.fleet.leader() or leader


def drain(cell):
    """An entry is asked to stop; the fault hits the primary."""
    gate = cell.primary_gate()
    gate.terminate()
    cell.started_down.append(gate)
    delay(cell)
    return cell.fleet.primary(cell.database) or cell.fleet.members[0]


STEPS = {
    "one-shot write": one_shot_write,
    "transaction": transaction,
    "promotion": promotion,
    "gate move": gate_move,
    "configuration change": configuration_change,
    "snapshot": snapshot,
    "rejoin": rejoin,
    "drain": drain,
}
