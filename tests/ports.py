"""Ports of this machine for programs under test to listen on."""

import itertools
import os
import random
import socket

RANGE = range(12_000, 32_000)  # below those that the system gives out by itself
WORKERS = 10  # of the test runner; each has a part of the range to itself


def _own_part():
    """The ports of this worker, over and over, from any one on."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % WORKERS
    part = RANGE[worker::WORKERS]
    start = random.Random().randrange(len(part))
    return itertools.cycle([*part[start:], *part[:start]])


_candidates = _own_part()


def is_free(port):
    """Whether nobody listens there, neither by TCP nor by UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def allocate_free_ports(count):
    """Free ports for TCP or UDP. Nobody else is given one before its process listens: not a client of another
    test, since the system takes a client's port from elsewhere, and not another worker's process."""
    return list(itertools.islice(filter(is_free, _candidates), count))


def allocate_free_port():
    """A port that nothing listens on."""
    return allocate_free_ports(1)[0]
