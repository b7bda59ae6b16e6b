"""Runs a gateway whose system calls fail and whose wall clock steps: `faulty_system.py SEED [NAME]`.

A shim in Python round the calls that the gateway makes. How often each fault struck is printed at the end, as
`struck FAULT: COUNT`. NAME: a planted fault (planted_faults.py) in addition.
"""

import atexit
import errno
import random
import runpy
import socket
import sys
import time
from collections import Counter

from planted_faults import PLANTED

FAILURE_SHARE = 0.02
ACCEPT_FAILURE_SHARE = 0.2  # few connections are accepted in a run
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
FIRST_STEP_S = 1.0  # after the start ...
LAST_STEP_S = 5.0  # ... at the latest
# Errors that Linux documents for each call, and that pass.
ERRORS = {
    "accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EPROTO),
    "connect_ex": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL),
    "send": (errno.EAGAIN, errno.ENOBUFS),
    "recv": (errno.EAGAIN,),
}
MIN_WHOLE_BYTES = 8  # a shorter transfer stays whole

struck = Counter()


def install(rng):
    """Replaces the calls of sockets and the wall clock with failing ones."""
    original = {name: getattr(socket.socket, name) for name in ("accept", "send", "recv", "connect_ex")}

    def fails(name):
        if rng.random() >= (ACCEPT_FAILURE_SHARE if name == "accept" else FAILURE_SHARE):
            return None
        number = rng.choice(ERRORS[name])
        struck[f"{name} {errno.errorcode[number]}"] += 1
        return number

    def accept(self):
        number = fails("accept")
        if number is not None:
            raise OSError(number, "injected")
        return original["accept"](self)

    def connect_ex(self, address):
        return fails("connect_ex") or original["connect_ex"](self, address)

    def send(self, data, *flags):
        number = fails("send")
        if number is not None:
            raise OSError(number, "injected")
        if len(data) > MIN_WHOLE_BYTES and rng.random() < FAILURE_SHARE:
            struck["send short"] += 1
            data = data[: rng.randrange(1, len(data))]
        return original["send"](self, data, *flags)

    def recv(self, size, *flags):
        if not flags and fails("recv") is not None:
            raise BlockingIOError(errno.EAGAIN, "injected")
        if not flags and size > MIN_WHOLE_BYTES and rng.random() < FAILURE_SHARE:
            struck["recv short"] += 1
            size = rng.randrange(1, MIN_WHOLE_BYTES)
        return original["recv"](self, size, *flags)

    for name, call in (("accept", accept), ("send", send), ("recv", recv), ("connect_ex", connect_ex)):
        setattr(socket.socket, name, call)
    step_clock(rng)


def step_clock(rng):
    """Makes the wall clock step once."""
    wall_clock = time.time
    step_at_s = time.monotonic() + rng.uniform(FIRST_STEP_S, LAST_STEP_S)
    step_s = rng.choice(CLOCK_STEPS_S)

    def stepped():
        if time.monotonic() < step_at_s:
            return wall_clock()
        struck[f"clock step {step_s:+.0f} s read"] += 1
        return wall_clock() + step_s

    time.time = stepped


def print_struck():
    """Prints how often each fault struck."""
    for name, count in sorted(struck.items()):
        print(f"struck {name}: {count}", file=sys.stderr)


if __name__ == "__main__":
    install(random.Random(f"system/{sys.argv[1]}"))
    if len(sys.argv) > 2:
        PLANTED[sys.argv[2]]()
    atexit.register(print_struck)
    sys.argv = ["lichenquay.gateway"]
    runpy.run_module("lichenquay.gateway", run_name="__main__", alter_sys=True)
