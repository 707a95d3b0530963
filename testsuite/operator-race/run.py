"""Operators race with equal base versions, and resend their changes: exactly one wins a
round, the others are told by whom and which change they lost, a resend gets its first
outcome, and the winner's sheet is in force everywhere."""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from case import Case, options, run_main
from fleet import FLEET_KEY

OPERATORS = 6
ROUNDS = 4
SECONDS = 60
SHEET = ("service,database,rank,setting,value,unit\n"
         "entry-books,,urgent,worth,{worth},\n")


class Operator:
    """Starts papayactl for one operator, with a sheet of its own."""

    def __init__(self, programs, folder, number):
        self.name = f"operator-{number}"
        self.worth = 100 + number
        self._program = os.path.join(programs, "papayactl")
        self._settings = os.path.join(folder, "papayactl.json")
        self._sheet = os.path.join(folder, self.name + ".csv")
        with open(self._sheet, "w", encoding="utf-8") as file:
            file.write(SHEET.format(worth=self.worth))

    def change(self, turn):
        return f"{self.name}-{turn}"

    def apply(self, turn):
        return self._start("apply", self._sheet, "--base", str(turn), "--change",
                           self.change(turn), "--author", self.name)

    def show(self):
        return result(self._start("show", "--wait-in-force", "30"))

    def _start(self, command, *words):
        return subprocess.Popen(
            [self._program, command, *words, "--json", "--timeout", "20", "--settings",
             self._settings], stdout=subprocess.PIPE, text=True)


def result(child):
    """Exit code and JSON of a papayactl."""
    output, _ = child.communicate(timeout=SECONDS)
    return child.returncode, json.loads(output)


def race(case, operators, turn):
    """One round; returns the winner."""
    children = [(operator, operator.apply(turn)) for operator in operators]
    first = [(operator, *result(child)) for operator, child in children]
    winners = [operator for operator, code, _ in first if code == 0]
    case.require(len(winners) == 1, f"round {turn}: {len(winners)} operators won")
    winner = winners[0]
    for operator, code, answer in first:
        if code == 0:
            case.require(answer["version"] == turn + 1, f"round {turn}: {answer}")
        else:
            lost_to = f"by {winner.name} (change {winner.change(turn)})"
            case.require(answer.get("kind") == "version_conflict" and
                         lost_to in answer["error"], f"round {turn}: {answer}")
    for operator, code, answer in first:
        again, repeated = result(operator.apply(turn))
        same = (again, repeated.get("version"), repeated.get("error")) == (
            code, answer.get("version"), answer.get("error"))
        case.require(same, f"round {turn}: a resend of {operator.name} got {repeated}")
    return winner


def body(arguments):
    with Case(arguments, keepers=arguments.keepers, entries=3) as case:
        with open(os.path.join(case.fleet.folder, "papayactl.json"), "w",
                  encoding="utf-8") as file:
            json.dump({"keepers": [keeper.address for keeper in case.fleet.keepers],
                       "fleet_key": FLEET_KEY}, file)
        operators = [Operator(arguments.bin, case.fleet.folder, i)
                     for i in range(OPERATORS)]
        for turn in range(ROUNDS):
            winner = race(case, operators, turn)
            code, shown = operators[0].show()
            ranks = shown["configuration"]["services"]["entry-books"]["ranks"]
            case.require(code == 0 and shown["version"] == turn + 1 and
                         ranks["urgent"]["worth"] == winner.worth and
                         len(shown["in_force"]) == len(case.fleet.entries),
                         f"round {turn}: the winner's sheet is not in force: {shown}")
    return case.history


parser = options(__doc__, 22400)
parser.add_argument("--keepers", type=int, default=1)
run_main("operator-race", body, parser.parse_args())
