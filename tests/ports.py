"""Allocates free ports of this machine for programs under test to listen on."""

import itertools
import os
import random
import socket

PORT_RANGE = range(12_000, 32_000)  # below the system's ephemeral ports
MAX_WORKERS = 10  # worker processes of the test runner; each has its own part of the range


def _worker_ports():
    """Returns an endless iterator over the ports of this worker, from a random one on."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % MAX_WORKERS
    own_ports = PORT_RANGE[worker::MAX_WORKERS]
    start = random.Random().randrange(len(own_ports))
    return itertools.cycle([*own_ports[start:], *own_ports[:start]])


_candidates = _worker_ports()


def is_free(port):
    """Returns whether the port can be bound, both for TCP and for UDP."""
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def allocate_free_ports(count):
    """Returns `count` free ports for TCP or UDP.

    No other process takes one before the program under test listens on it: the system assigns
    ports of clients from another range, and other workers allocate from their own parts.
    """
    return list(itertools.islice(filter(is_free, _candidates), count))


def allocate_free_port():
    """Returns one free port."""
    return allocate_free_ports(1)[0]
