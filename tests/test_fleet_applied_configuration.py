"""What a front does with values that it follows, and whom it follows first."""

import random
import subprocess
import sys
from pathlib import Path

from lichenquay.admission import domain
from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.endpoint_list import COMPLETE, COMPLETE_KEY, key_of, value_of
from lichenquay.config.reader import read_settings
from lichenquay.distribution import distribution_pb2 as wire
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.fleet.applied_configuration import AppliedConfiguration
from lichenquay.fleet.source_ranking import ranked

ROOT = Path(__file__).resolve().parents[1]
RELAYS = "".join(
    f'relays {{ name: "r{i}" address: "127.0.0.1:{i}" region: "g{region}" zone: "z{i}" }}'
    for i, region in ((1, 1), (2, 1), (3, 2))
)
SETTINGS = f'distribution {{ fleet: "yard" name: "a" listen: "127.0.0.1:9" zone: "z1" {RELAYS} }}'


class Log:
    """Keeps what it is told."""

    def __init__(self):
        """Nothing yet."""
        self.lines = []

    def info(self, event, **more):
        """One line."""
        self.lines.append((event, more))

    warning = info


class Front:
    """One that follows a source in the same process; `gates` and `lists`: all that it put in force."""

    def __init__(self, settings=SETTINGS):
        """It follows, and nothing is published yet."""
        self.now, self.gates, self.lists, self.log, self.version = 0.0, [], [], Log(), 0
        rng, settings = random.Random(1), read_settings(settings).distribution
        self.configuration = AppliedConfiguration(settings, "a", rng, self.now, self, self.log)
        self.source = Source("r1", rng, Settings(), self.now)
        self.publish()

    def apply_connection_rules(self, gate):
        """As a front's."""
        self.gates.append(gate)

    def apply_endpoints(self, whole, rows):
        """As a front's."""
        self.lists.append((whole, rows))

    def publish(self, **values):
        """A change of these keys under config/; None deletes one. All that follows is brought across."""
        self.change({f"config/{key}": value for key, value in values.items()})

    def change(self, values):
        """A change of these keys; None deletes one. All that follows is brought across."""
        self.accept(values)
        self.source.confirm(self.now, 1, self.version, 0.0)
        for _ in range(100):
            self.now += 50.0
            self._bring_across()

    def accept(self, values):
        """A change of which nothing is brought across yet."""
        entries = [
            wire.Entry(key=key, value=value or b"", deleted=value is None) for key, value in values.items()
        ]
        if entries:
            self.version += 1
            for entry in entries:
                entry.version = self.version
            self.source.advance(self.now, 1, self.version, entries, self.now)

    def _bring_across(self):
        subscriber = self.configuration.subscriber
        for part in (subscriber, self.source):
            if part.due_ms <= self.now:
                part.tick(self.now)
        for _ in range(10):
            up, down = list(subscriber.outbox), list(self.source.outbox)
            subscriber.outbox.clear()
            self.source.outbox.clear()
            for _, message in up:
                self.source.heard(self.now, ("a", 1), message)
            for _, message in down:
                subscriber.heard(self.now, ("r1", 1), message)
                self.configuration.apply_first_list()


def test_a_gate_is_put_in_force_and_the_files_again_once_it_is_deleted():
    """Keys that no front reads change nothing."""
    front = Front()
    front.publish(gate=b"reserve: 3 known: '10.0.0.1'", other=b"\xff")
    front.publish(other=b"2")
    front.publish(gate=None)
    assert front.gates == [pb.Gate(reserve=3, known=["10.0.0.1"]), None]
    assert front.configuration.subscriber.applied_version == 3


def test_what_makes_no_sense_leaves_the_last_good_gate_in_force_and_is_told():
    """Each is counted, and tried again as often; the log has one line of them all, SIGUSR1 the last cause."""
    front = Front()
    front.publish(gate=b"prefix4: 20")
    for bad in (b"prefix4: 99", b"gat: 1", b"\xff\xfe", b"reserve: 1"):
        front.publish(gate=bad)
    subscriber = front.configuration.subscriber
    assert front.gates == [pb.Gate(prefix4=20)]
    assert (subscriber.version, subscriber.applied_version) == (5, 1) and subscriber.counts["refused"] >= 4
    warned = [more["why"] for event, more in front.log.lines if event == "distribution"]
    assert len(warned) == 1 and "version 2 is not in force, 1 is: config/gate: gate.prefix4: 99" in warned[0]
    said = front.configuration.lines(front.now)
    assert any("version 5 in force 1" in line for line in said)
    assert said[-1] == "distribution fault: config/gate: gate.reserve: 1, but no range is known"
    front.publish(gate=b"prefix4: 21")
    assert front.gates[-1] == pb.Gate(prefix4=21) and subscriber.applied_version == 6
    assert front.configuration.lines(front.now)[-1] == "distribution fault: none"


FOLLOWS_ENGINES = SETTINGS.replace('zone: "z1"', 'zone: "z1" engines: true', 1)


def row(uid, state=domain.EndpointState.SERVING, zone="z1", port=80):
    """An engine."""
    return EndpointRecord(uid, f"10.0.0.1:{port}", zone, "std", 2, state, 1.0, 0.0)


def entries_of(*rows):
    """As they are published; a withdrawn one is deleted."""
    return {key_of(r): None if r.state == domain.EndpointState.REMOVED else value_of(r) for r in rows}


ALL = {COMPLETE_KEY: COMPLETE}


def test_engines_are_put_in_force_as_they_change():
    """All of them once they are all published; gone ones are told with what they were, before new ones."""
    front = Front(FOLLOWS_ENGINES)
    front.change(entries_of(row("e1")))
    front.change(entries_of(row("e2")))
    assert front.lists == []
    front.change(ALL)
    front.change(entries_of(row("e1", domain.EndpointState.DRAINING)))
    front.change(entries_of(row("e1", domain.EndpointState.REMOVED), row("e3", port=81)))
    assert front.lists == [
        (True, [row("e1"), row("e2")]),
        (False, [row("e1", domain.EndpointState.DRAINING)]),
        (False, [row("e1", domain.EndpointState.REMOVED), row("e3", port=81)]),
    ]


def test_a_first_list_that_comes_in_steps_is_put_in_force_whole():
    """Risk: a front begins with a few of its engines."""
    front = Front(FOLLOWS_ENGINES)
    many = [row(f"e{n:02d}") for n in range(60)]
    front.accept(ALL)
    for first in range(0, 60, 5):
        front.accept(entries_of(*many[first : first + 5]))
    front.source.outbox.clear()  # the first push, which did not know of more
    front.publish(other=b"1")
    ((whole, rows),) = front.lists
    assert whole and sorted(rows) == many and front.configuration.subscriber.counts["deltas"] > 3


def test_an_engine_that_changes_its_zone_is_never_gone():
    """Its old key goes and its new one comes in one change."""
    front = Front(FOLLOWS_ENGINES)
    front.change({**ALL, **entries_of(row("e1"))})
    front.change({**entries_of(row("e1", domain.EndpointState.REMOVED)), **entries_of(row("e1", zone="z2"))})
    assert front.lists[-1] == (False, [row("e1", zone="z2")])


def test_a_list_that_nobody_has_published_leaves_the_one_that_is_known():
    """Once engines were in force, an empty list counts."""
    front = Front(FOLLOWS_ENGINES)
    front.configuration.apply(front.now, {}, True)
    assert front.lists == []
    front.change({**ALL, **entries_of(row("e1"))})
    front.configuration.apply(front.now, {}, True)
    assert front.lists[-1] == (True, [])


def test_an_entry_that_names_no_engine_leaves_the_last_good_list_in_force():
    """Nothing of its change is taken, also not the gate that came with it."""
    front = Front(FOLLOWS_ENGINES)
    front.change({**ALL, **entries_of(row("e1"))})
    front.change({"config/gate": b"prefix4: 20", "engine/z1/e2": b"\xff"})
    assert len(front.lists) == 1 and front.gates == []
    assert front.configuration.fault == "engine/z1/e2: no engine's entry"
    front.change(entries_of(row("e2")))
    assert front.lists[-1] == (False, [row("e2")]) and front.gates[-1] == pb.Gate(prefix4=20)


def test_without_being_told_to_a_front_takes_no_engines():
    """They are held as any key, and not read."""
    front = Front(SETTINGS.replace('zone: "z1"', 'zone: "z1" prefixes: "engine/"', 1))
    front.change({"engine/z1/e2": b"\xff"})
    assert front.lists == [] and front.configuration.subscriber.applied_version == 1


def test_relays_of_the_own_zone_come_first_then_of_the_region():
    """Then all others."""
    relays = read_settings(SETTINGS).distribution.relays
    assert ranked(relays, "a", "z1", "g1") == ["r1", "r2", "r3"]
    assert ranked(relays, "a", "z3", "g2")[0] == "r3"


def test_fronts_of_a_zone_spread_over_its_relays_and_those_of_one_that_goes_over_the_rest():
    """Alike at each start; nobody else moves."""
    relays = [pb.ZoneRelay(name=f"r{i}", region="g", zone="z") for i in range(4)]
    first = {f"s{i}": ranked(relays, f"s{i}", "z", "g") for i in range(400)}
    assert first == {name: ranked(relays[::-1], name, "z", "g") for name in first}
    counts = [sum(order[0] == relay.name for order in first.values()) for relay in relays]
    assert min(counts) > 60 and max(counts) < 140
    without = {name: ranked(relays[1:], name, "z", "g") for name in first}
    assert all(without[n][0] == order[0] for n, order in first.items() if order[0] != "r0")
    moved = [without[name][0] for name, order in first.items() if order[0] == "r0"]
    assert len(set(moved)) == 3


def test_a_front_that_follows_nothing_imports_none_of_it():
    """Settings with `fleet` alone: only the figures are known, as they are checked with all settings."""
    code = (
        "import sys, lichenquay.config.reader, lichenquay.fleet.gateway_runtime; "
        "parts = ('lichenquay.distribution', 'lichenquay.control_plane'); "
        "print(sorted(name for name in sys.modules if name.startswith(parts)))"
    )
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert got.stdout.strip() == "['lichenquay.distribution', 'lichenquay.distribution.settings']"
