"""The entries of a scale run's configuration: the engines' list, and the changes of the trickle."""

import random

from lichenquay.admission import domain
from lichenquay.config.endpoint_list import COMPLETE, COMPLETE_KEY, encode_endpoint, endpoint_key
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.testbed.scale.scenario import Shape
from lichenquay.testbed.scale.world_spec import CONFIG_PREFIX

ENTRIES_OF_CHANGE = 5  # While engines are listed: a change is 720 bytes at most.
CONFIG_KEYS = 200  # Different keys that the trickle changes.
CONFIG_BYTES = 120
MOST_START_MS = 10**12  # Unix milliseconds.
ENGINE_CHANGES = 0.5  # Share of the trickle that is about engines.
STATES = (domain.EndpointState.SERVING, domain.EndpointState.DRAINING)


def engine_row(number: int, shape: Shape, rng: random.Random, state: str) -> EndpointRecord:
    """An engine, by its number."""
    zone = shape.zones[number % len(shape.zones)]
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9047"
    started_ms = float(rng.randrange(MOST_START_MS))
    return EndpointRecord(f"e{number:05d}", address, zone, "std", 0, state, 1.0, started_ms)


def engine_entry(row: EndpointRecord) -> pb.Entry:
    """As it is published."""
    return pb.Entry(key=endpoint_key(row), value=encode_endpoint(row))


def engine_changes(first: int, count: int, shape: Shape) -> list[list[pb.Entry]]:
    """Changes that list `count` engines from number `first` on."""
    rng = random.Random(f"{shape.seed}/engines/{first}")
    entries = [
        engine_entry(engine_row(number, shape, rng, domain.EndpointState.SERVING))
        for number in range(first, first + count)
    ]
    return [entries[i : i + ENTRIES_OF_CHANGE] for i in range(0, len(entries), ENTRIES_OF_CHANGE)]


def all_listed() -> list[pb.Entry]:
    """The change that tells fronts that all engines are there."""
    return [pb.Entry(key=COMPLETE_KEY, value=COMPLETE)]


class TrickleEntries:
    """Makes the entries of the trickle: configuration values, and engines that change their state."""

    def __init__(self, shape: Shape):
        """`shape.engines`: engines that may change."""
        self.shape = shape

    def __call__(self, number: int, rng: random.Random) -> list[pb.Entry]:
        """One change, of one entry."""
        if rng.random() < ENGINE_CHANGES and self.shape.engines:
            engine = rng.randrange(self.shape.engines)
            return [engine_entry(engine_row(engine, self.shape, rng, rng.choice(STATES)))]
        key = f"{CONFIG_PREFIX}limit/{rng.randrange(CONFIG_KEYS)}"
        return [pb.Entry(key=key, value=f"{number}:".encode().ljust(CONFIG_BYTES, b"x"))]
