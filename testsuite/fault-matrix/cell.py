"""One cell of the matrix: a fault during a step, on a running fleet, judged by the
history of its callers and by what became of configuration changes."""

import random
import threading
import time

import rpc
from caller import Caller
from fleet import FLEET_KEY, FleetError, wait_until
from history import History
from workload import Workload

LOAD_SECONDS = 0.6
RECOVERY_SECONDS = 25
AGREE_SECONDS = 15
CALLERS = 3


class Cell:
    """State of one run."""

    def __init__(self, fleet, name, seed):
        self.fleet = fleet
        self.name = name
        self.database = fleet.databases[0]
        self.history = History()
        self.dice = random.Random(f"{seed} {name}")
        self.started_down = []
        self._seed = seed
        self._accepted = []
        self._changing = threading.Event()
        self._changer = None

    def run(self, step, fault):
        """Violations found; an empty list proves the cell."""
        prefix = self.name.replace(" ", "-")
        self.history.note_limits(self.fleet)
        load = Workload(self.fleet, self.history, self._seed, CALLERS, prefix=prefix)
        load.start()
        time.sleep(LOAD_SECONDS)
        try:
            target = step(self)
            fault(self, target)
            self._recover()
            time.sleep(LOAD_SECONDS)
        finally:
            self._stop_changes()
            load.stop()
        self._prove_service(prefix)
        self._prove_control()
        self.history.judge(self.fleet)
        self._judge_configuration()
        return self.history.violations

    def _recover(self):
        for process in self.started_down:
            if process.expected_down and process.running():
                process.wait()
        self.fleet.mend()

    def _prove_service(self, prefix):
        """Each entry takes a write again."""
        caller = Caller(self.fleet, self.history, prefix + "-after")
        end = time.monotonic() + RECOVERY_SECONDS
        for entry in self.fleet.entries:
            patience = max(0.0, end - time.monotonic())
            done = caller.write(self.database, prefix, patience_s=patience,
                                entries=[entry])
            if done.outcome != "ok":
                self.history.violation(
                    "other", f"no write through {entry.name}: {done.errors[-1:]}")
        caller.close()

    def _prove_control(self):
        """The keepers lead again, so that the next cell starts whole."""
        try:
            self.fleet.wait_for_voters()
        except FleetError as failed:
            self.history.violation("other", f"the keepers did not recover: {failed}")

    # --- Where things are ---

    def _record(self):
        state = self.fleet.control_state()
        for record in state["databases"]:
            if record["database"].endswith("/" + self.database):
                return record
        raise FleetError(f"the keepers know no database {self.database}")

    def _entry(self, ident):
        return next((e for e in self.fleet.entries if e.name == ident), None)

    def primary_gate(self):
        record = self._record()
        gates = {m["id"]: m["gate"] for m in record["members"]}
        return self._entry(gates.get(record["primary"])) or self.fleet.entries[0]

    def driver(self):
        return self._entry(self._record().get("next", {}).get("driver"))

    # --- Configuration changes ---

    def start_changes(self, count, pause_s=0.05):
        self._changer = threading.Thread(target=self._change, args=(count, pause_s),
                                         daemon=True)
        self._changer.start()

    def _stop_changes(self):
        self._changing.set()
        if self._changer:
            self._changer.join(20)

    def _change(self, count, pause_s):
        for number in range(count):
            if self._changing.is_set():
                return
            self._propose(f"{self.name} {number}")
            time.sleep(pause_s)

    def _version(self):
        return self.fleet.control_state()["configuration"]["version"]

    def _propose(self, change, base=None):
        """Proposes one change, the content staying as it is; the outcome, or None."""
        try:
            state = self.fleet.control_state()["configuration"]
            command = {"do": "change_configuration", "change": change, "author": "matrix",
                       "base": state["version"] if base is None else base,
                       "content": state["content"]}
            answer = self._call_keepers(command)
        except (FleetError, rpc.RpcError, OSError):
            return None
        if answer["outcome"]["accepted"]:
            self._accepted.append((answer["outcome"]["version"], change))
        return answer["outcome"]

    def _call_keepers(self, command):
        failed = rpc.RpcError("no keeper runs")
        for keeper in self.fleet.keepers:
            if not keeper.running() or keeper.frozen():
                continue
            try:
                return rpc.rpc_call(keeper.address, FLEET_KEY, "keeper.propose",
                                    {"command": command})
            except rpc.RpcError as error:
                failed = error
        raise failed

    def race_operators(self):
        """Two operators change the same version at once; then both send again."""
        base = self._version()
        outcomes = [None, None]

        def operate(number):
            outcomes[number] = self._propose(f"{self.name} race {number}", base)

        for _ in range(2):
            threads = [threading.Thread(target=operate, args=(n,)) for n in range(2)]
            first = list(outcomes)
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            won = [o for o in outcomes if o and o["accepted"]]
            if len(won) > 1:
                self.history.violation("other", f"both operators won: {outcomes}")
            for before, after in zip(first, outcomes):
                if before and after and before["accepted"] != after["accepted"]:
                    self.history.violation("other", f"resend: {before} then {after}")

    def _judge_configuration(self):
        highest = max((version for version, _ in self._accepted), default=0)
        versions = [version for version, change in set(self._accepted)]
        if len(versions) != len(set(versions)):
            self.history.violation("other", f"a version was given twice: {self._accepted}")

        def in_force():
            found = [rpc.rpc_call(e.settings["rpc"], FLEET_KEY, "entry.status", {})["version"]
                     for e in self.fleet.entries]
            return min(found) >= highest and len(set(found)) == 1
        try:
            wait_until(in_force, AGREE_SECONDS, f"version {highest} in force everywhere")
        except FleetError as late:
            self.history.violation("other", str(late))
