"""The frame of one end-to-end case: command line, fleet, judgement, clean-up."""

import argparse
import signal
import sys
import time
import traceback

from fleet import Fleet, FleetError
from history import History


def options(description, base_port):
    """The command line that all cases share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    parser.add_argument("--base-port", type=int, default=base_port)
    parser.add_argument("--seed", type=int, default=20261204)
    return parser


def stop_on_signal():
    """Makes SIGTERM an exception, so that what was started is stopped."""
    def leave(number, frame):
        raise SystemExit(f"signal {number}")

    signal.signal(signal.SIGTERM, leave)


class Case:
    """Context of one case: the fleet is stopped however the case ends."""

    def __init__(self, arguments, **fleet_options):
        self.history = History()
        self.fleet = Fleet(arguments.bin, arguments.base_port, **fleet_options)
        self.seed = arguments.seed

    def __enter__(self):
        try:
            self.fleet.start()
        except BaseException:
            self._show_logs()
            self.fleet.stop()
            raise
        return self

    def __exit__(self, kind, failed, trace):
        if failed is not None or self.history.violations:
            self._show_logs()
        self.fleet.stop()
        self.fleet.remove()

    def _show_logs(self):
        for process in self.fleet.processes():
            print(f"--- {process.name} (exit {process.exit_code()})", file=sys.stderr)
            print(process.log_tail(), file=sys.stderr)

    def require(self, holds, text):
        if not holds:
            self.history.violation("other", text)

    def wait_for(self, holds, seconds, text):
        """Polls; a violation if it does not come to hold."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if holds():
                    return True
            except (OSError, FleetError):
                pass
            time.sleep(0.05)
        self.require(False, f"not within {seconds} s: {text}")
        return False


def run_main(name, body, arguments):
    """Runs body(arguments), which returns the history; prints and exits 0 or 1."""
    stop_on_signal()
    try:
        history = body(arguments)
    except Exception:
        traceback.print_exc()
        print(f"{name}: FAILED (seed {arguments.seed})")
        sys.exit(1)
    for kind, text in history.violations[:20]:
        print(f"{name}: {kind}: {text}")
    good = not history.violations
    print(f"{name}: {'holds' if good else 'FAILED'}; {history.acknowledged()} writes "
          f"acknowledged, {len(history.reads)} reads, {len(history.violations)} "
          f"violations (seed {arguments.seed})")
    sys.exit(0 if good else 1)
