"""Entries of a scale run's configuration: the list of engines, and the background changes."""

import random

from lichenquay.admission import domain
from lichenquay.config.endpoint_list import COMPLETE, COMPLETE_KEY, encode_endpoint, endpoint_key
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.testbed.scale.scenario import Shape
from lichenquay.testbed.scale.world_spec import CONFIG_PREFIX

ENTRIES_PER_CHANGE = 5  # While engines are listed; keeps a change within 720 bytes.
CONFIG_KEYS = 200  # Number of distinct keys among background changes.
CONFIG_VALUE_BYTES = 120
MAX_START_UNIX_MS = 10**12
ENGINE_CHANGE_SHARE = 0.5  # Share of background changes that change an engine.
STATES = (domain.EndpointState.SERVING, domain.EndpointState.DRAINING)


def engine_row(number: int, shape: Shape, rng: random.Random, state: str) -> EndpointRecord:
    """Returns the record of an engine by its number."""
    zone = shape.zones[number % len(shape.zones)]
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9047"
    started_ms = float(rng.randrange(MAX_START_UNIX_MS))
    return EndpointRecord(f"e{number:05d}", address, zone, "std", 0, state, 1.0, started_ms)


def engine_entry(row: EndpointRecord) -> pb.Entry:
    """Returns an engine's record as a published entry."""
    return pb.Entry(key=endpoint_key(row), value=encode_endpoint(row))


def engine_changes(first: int, count: int, shape: Shape) -> list[list[pb.Entry]]:
    """Returns the changes that list `count` engines from number `first` on."""
    rng = random.Random(f"{shape.seed}/engines/{first}")
    entries = [
        engine_entry(engine_row(number, shape, rng, domain.EndpointState.SERVING))
        for number in range(first, first + count)
    ]
    return [entries[i : i + ENTRIES_PER_CHANGE] for i in range(0, len(entries), ENTRIES_PER_CHANGE)]


def list_complete_change() -> list[pb.Entry]:
    """Returns the change that marks the list of engines as complete."""
    return [pb.Entry(key=COMPLETE_KEY, value=COMPLETE)]


class BackgroundChanges:
    """Makes the entries of background changes: configuration values, and engines that change their state."""

    def __init__(self, shape: Shape):
        """`shape.engines`: the engines that may change."""
        self.shape = shape

    def __call__(self, number: int, rng: random.Random) -> list[pb.Entry]:
        """Returns one change, which has one entry."""
        if rng.random() < ENGINE_CHANGE_SHARE and self.shape.engines:
            engine = rng.randrange(self.shape.engines)
            return [engine_entry(engine_row(engine, self.shape, rng, rng.choice(STATES)))]
        key = f"{CONFIG_PREFIX}limit/{rng.randrange(CONFIG_KEYS)}"
        return [pb.Entry(key=key, value=f"{number}:".encode().ljust(CONFIG_VALUE_BYTES, b"x"))]
