"""Callers that misbehave, one kind after the other, each against an entry of its own. Afterwards
the entry lives, its memory and descriptors have stayed under a bound, an ordinary caller is served
while the others are still connected, and the memory has been released once they are gone. Guards
against an entry that callers make run out of memory or descriptors."""

import os
import resource
import selectors
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from case import options, run_main
from history import History
from text_site import DATABASE, TextSite, ask

HOST = "127.0.9.51"
MIB = 1024 * 1024
# The crowds and bounds were fixed before the product was changed. An entry without callers has
# about 20 MB; without limits each crowd below needs more than twice the bound.
CALLER_MEMORY_BYTES = 8 * MIB
PEAK_GROWTH_KIB = 28 * 1024
GROWTH_AFTERWARDS_KIB = 12 * 1024
DESCRIPTOR_LIMIT = 256
# At a limit of 256, a quarter is left for members, keepers and files.
DESCRIPTORS_MAX = 240
SERVED_WITHIN_S = 30
RELEASED_WITHIN_S = 20
STALLED_S = 2.0
NEARLY_A_MESSAGE = b"a" * (MIB - 4096)
OPENING = f"STARTUP {DATABASE} u1\r\n".encode()


class Caller:
    """Sends what `pieces` yields as fast as the entry takes it."""

    def __init__(self, address, pieces, reads):
        self.pieces, self.reads = pieces, reads
        self.pending = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def play(self):
        """One turn; False once it has sent everything or was closed."""
        if not self.pending:
            piece = next(self.pieces, None)
            if piece is None:
                return False
            self.pending = memoryview(piece)
        try:
            self.pending = self.pending[self.socket.send(self.pending):]
            if self.reads:
                self.read()
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True

    def read(self):
        try:
            while self.socket.recv(65536):
                pass
        except BlockingIOError:
            pass


def play_crowd(callers):
    """Lets all send until each has ended or no one can send any more."""
    with selectors.DefaultSelector() as selector:
        for caller in callers:
            selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        while selector.get_map():
            ready = selector.select(STALLED_S)
            if not ready:
                return
            for key, _ in ready:
                if not key.data.play():
                    selector.unregister(key.data.socket)


def stop_in_message():
    yield OPENING
    yield b"QUERY q1 WRITE x " + NEARLY_A_MESSAGE


def stop_in_opening():
    yield b"STARTUP " + NEARLY_A_MESSAGE


def set_values():
    yield OPENING
    for number in range(512):
        yield f"QUERY q{number} SET v{number % 256} ".encode() + b"a" * 60000 + b"\r\n"


def pipeline_writes():
    yield OPENING
    for number in range(8):
        yield f"QUERY q{number} WRITE x ".encode() + b"a" * 524288 + b"\r\n"


def prepare_shapes():
    yield OPENING
    for number in range(60):
        yield (f"QUERY q1 PREPARE p READ {number} ".encode() + b"a" * 800000 +
               b"\r\nQUERY q2 EXECUTE p x\r\nQUERY q3 CLOSE p\r\n")


def exceed_limit():
    yield OPENING
    for _ in range(16):
        yield b"a" * MIB


def say_nothing():
    yield from ()


# Kind, number of callers, what each sends, whether it reads its answers.
KINDS = [
    ("stop in a message", 80, stop_in_message, False),
    ("stop in the opening", 80, stop_in_opening, False),
    ("set values", 10, set_values, True),
    ("prepare shapes", 2, prepare_shapes, True),
    ("pipeline writes", 80, pipeline_writes, False),
    ("exceed the limit", 80, exceed_limit, False),
    ("say nothing", 400, say_nothing, False),
]


def limit_descriptors(count):
    def prepare():
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    return prepare


def within(seconds, holds):
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            return False
        time.sleep(0.1)
    return True


def play_kind(site, kind, factor, history):
    name, count, pieces, reads = kind
    entry = site.start_entry({"caller_memory_bytes": CALLER_MEMORY_BYTES},
                             limit_descriptors(DESCRIPTOR_LIMIT * factor))
    before = entry.status_kib("VmRSS")
    callers = [Caller(entry.address, pieces(), reads) for _ in range(count * factor)]
    play_crowd(callers)

    def require(holds, text):
        if not holds:
            history.violation("other", f"{name}: {text}")

    time.sleep(STALLED_S)
    require(entry.running(), f"the entry ended with {entry.child.poll()}")
    if not entry.running():
        return
    descriptors = entry.descriptors()
    require(within(SERVED_WITHIN_S, lambda: ask(entry.address, "WRITE x y")),
            "an ordinary statement is not served")
    peak = entry.status_kib("VmHWM")
    for caller in callers:
        caller.socket.close()
    released = within(RELEASED_WITHIN_S, lambda: entry.status_kib("VmRSS") <
                      before + GROWTH_AFTERWARDS_KIB)
    print(f"{name}: {len(callers)} callers; before {before} KiB, peak {peak} KiB, afterwards "
          f"{entry.status_kib('VmRSS')} KiB, {descriptors} descriptors", flush=True)
    require(peak < before + PEAK_GROWTH_KIB, f"{peak} KiB at the peak, {before} before")
    require(descriptors <= DESCRIPTORS_MAX * factor, f"{descriptors} descriptors")
    require(released, f"{entry.status_kib('VmRSS')} KiB afterwards, {before} before")
    entry.end()


def body(arguments):
    history = History()
    with TextSite(arguments.bin, HOST, arguments.base_port) as site:
        for kind in KINDS:
            if arguments.kind in kind[0]:
                play_kind(site, kind, arguments.factor, history)
    return history


def parsed():
    parser = options(__doc__, 24060)
    parser.add_argument("--kind", default="", help="only the kinds that contain this text")
    parser.add_argument("--factor", type=int, default=1,
                        help="multiplies callers and descriptors; the bounds of memory stay")
    return parser.parse_args()


run_main("unruly-callers", body, parsed())
