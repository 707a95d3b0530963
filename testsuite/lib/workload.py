"""Callers in threads that write, read and run transactions while a case breaks things."""

import random
import threading
import time

from caller import Caller

RANKS = ("urgent", "normal", "batch")


class Workload:
    """Starts `callers` sessions of rotating ranks; stop() joins them."""

    def __init__(self, fleet, history, seed, callers=4, pause_s=0.01, patience_s=8.0,
                 transactions=True, roam_entries=None, prefix="c"):
        self._fleet = fleet
        self._history = history
        self._pause_s = pause_s
        self._patience_s = patience_s
        self._transactions = transactions
        self._entries = roam_entries
        self._prefix = prefix
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, seed), daemon=True)
            for number in range(callers)]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(60)
            if thread.is_alive():
                self._history.violation("other", "a caller got no answer in time")

    def _run(self, number, seed):
        dice = random.Random(seed * 1000 + number)
        caller = Caller(self._fleet, self._history, f"{self._prefix}-{number}",
                        RANKS[number % len(RANKS)], dice)
        try:
            while not self._stopping.is_set():
                self._step(caller, dice)
                time.sleep(self._pause_s * dice.random() * 2)
        except Exception as failed:  # A dead thread must not look like a quiet one.
            self._history.violation("other", f"{caller.name}: {failed!r}")
        finally:
            caller.close()

    def _step(self, caller, dice):
        database = dice.choice(self._fleet.databases)
        key = f"k{dice.randrange(3)}-{caller.name}"
        choice = dice.random()
        if choice < 0.35:
            caller.write(database, key, True, self._patience_s, self._entries)
        elif choice < 0.5:
            caller.write(database, key, False, 0.0, self._entries)
        elif choice < 0.6 and self._transactions:
            entry = caller.roam(self._entries)
            caller.transaction(database, [key, key + "-pair"], entry)
        else:
            caller.read(database, key, self._entries, 0.0)
