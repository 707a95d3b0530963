"""Every fault at every step: prints the matrix of cells proved and not proved."""

import os
import queue
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
sys.path.insert(0, HERE)
from case import options, stop_on_signal
from cell import Cell
from faults import FAULTS
from fleet import Fleet
from steps import STEPS

LANES = 3
PORTS_PER_FLEET = 8
FLEETS_PER_LANE = 30
DOCUMENT = os.path.join(HERE, "..", "..", "docs", "FAULT_MATRIX.md")
NOT_RUN = "not run: out of time"


class Lane:
    """Runs cells one after another on one fleet; a fleet that failed is replaced."""

    def __init__(self, number, arguments):
        self._port = arguments.base_port + number * PORTS_PER_FLEET * FLEETS_PER_LANE
        self._arguments = arguments
        self._fleet = None

    def _fresh(self):
        if self._fleet is None:
            self._fleet = Fleet(self._arguments.bin, self._port, keepers=3, entries=3,
                                keeper_settings={"snapshot_every": 20})
            self._port += PORTS_PER_FLEET
            self._fleet.start()
        return self._fleet

    def run(self, fault, step):
        """The reason why the cell is not proved, or ""."""
        try:
            cell = Cell(self._fresh(), f"{fault} {step}", self._arguments.seed)
            violations = cell.run(STEPS[step], FAULTS[fault])
            reason = "; ".join(f"{kind}: {text}" for kind, text in violations[:2])
        except Exception as failed:
            if self._arguments.verbose:
                traceback.print_exc()
            reason = f"not judged: {failed}"
        if reason:
            self.drop(self._arguments.verbose)
        return reason

    def drop(self, show_logs=False):
        if self._fleet is None:
            return
        if show_logs:
            for process in self._fleet.processes():
                print(f"--- {process.name}\n{process.log_tail()}", file=sys.stderr)
        self._fleet.stop()
        self._fleet.remove()
        self._fleet = None


def run_cells(cells, arguments):
    """Reason for each cell; "" where it is proved."""
    waiting = queue.SimpleQueue()
    for cell in cells:
        waiting.put(cell)
    reasons = {cell: NOT_RUN for cell in cells}
    end = time.monotonic() + arguments.budget_seconds

    def work(number):
        lane = Lane(number, arguments)
        try:
            while time.monotonic() < end:
                try:
                    cell = waiting.get_nowait()
                except queue.Empty:
                    return
                start = time.monotonic()
                reasons[cell] = lane.run(*cell)
                print(f"{cell[0]} / {cell[1]}: {reasons[cell] or 'proved'} "
                      f"({time.monotonic() - start:.1f} s)", flush=True)
        finally:
            lane.drop()

    threads = [threading.Thread(target=work, args=(n,)) for n in range(LANES)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return reasons


def document(reasons, seed):
    """The matrix as a page."""
    proved = sum(1 for reason in reasons.values() if not reason)
    lines = ["# Fault matrix", "",
             "Every fault at every step, run on a fleet of three keepers, three entries and a",
             "database of three members, and judged by the histories of callers: nothing lost,",
             "doubled, mixed or torn, read-your-writes, no false \"not run\", members agree,",
             "accepted configuration in force, every entry writes again. Written by",
             "`testsuite/fault-matrix/run.py --bin FOLDER --write`.", "",
             f"{proved} of {len(reasons)} cells proved (seed {seed}).", "",
             "| fault | " + " | ".join(STEPS) + " |", "|---" * (len(STEPS) + 1) + "|"]
    for fault in FAULTS:
        row = ["proved" if reasons[fault, step] == "" else "**not proved**"
               for step in STEPS]
        lines.append(f"| {fault} | " + " | ".join(row) + " |")
    lines += ["", "## Not proved", ""]
    open_cells = [(cell, reason) for cell, reason in reasons.items() if reason]
    lines += [f"- {fault}, {step}: {reason}" for (fault, step), reason in open_cells]
    if not open_cells:
        lines.append("None.")
    return "\n".join(lines) + "\n"


def main():
    parser = options(__doc__, 23240)
    parser.add_argument("--cells", default="", help="only cells whose name holds this text")
    parser.add_argument("--budget-seconds", type=float, default=215)
    parser.add_argument("--write", action="store_true", help="write docs/FAULT_MATRIX.md")
    parser.add_argument("--verbose", action="store_true", help="logs of cells not proved")
    arguments = parser.parse_args()
    stop_on_signal()
    cells = [(fault, step) for step in STEPS for fault in FAULTS
             if arguments.cells in f"{fault} / {step}"]
    reasons = run_cells(cells, arguments)
    proved = sum(1 for reason in reasons.values() if not reason)
    late = sum(1 for reason in reasons.values() if reason == NOT_RUN)
    for cell, reason in reasons.items():
        if reason:
            print(f"NOT PROVED {cell[0]} / {cell[1]}: {reason}")
    print(f"fault-matrix: {proved} of {len(cells)} cells proved, {late} not run "
          f"(seed {arguments.seed})")
    if arguments.write and not arguments.cells:
        with open(DOCUMENT, "w", encoding="utf-8") as file:
            file.write(document(reasons, arguments.seed))
    sys.exit(0 if proved + late == len(cells) else 1)


main()
