"""How a gateway applies distributed configuration, and in which order it tries its sources."""

import random
import subprocess
import sys
from pathlib import Path

from lichenquay.admission import domain
from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.endpoint_list import COMPLETE, COMPLETE_KEY, encode_endpoint, endpoint_key
from lichenquay.config.reader import read_settings
from lichenquay.distribution import distribution_pb2 as wire
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.fleet.applied_configuration import AppliedConfiguration
from lichenquay.fleet.source_ranking import rank_sources

ROOT = Path(__file__).resolve().parents[1]
RELAYS = "".join(
    f'relays {{ name: "r{i}" address: "127.0.0.1:{i}" region: "g{region}" zone: "z{i}" }}'
    for i, region in ((1, 1), (2, 1), (3, 2))
)
SETTINGS = f'distribution {{ fleet: "fleet-a" name: "a" listen: "127.0.0.1:9" zone: "z1" {RELAYS} }}'


class RecordingLog:
    """Records all log lines."""

    def __init__(self):
        """Starts empty."""
        self.lines = []

    def info(self, event, **more):
        """Records one line."""
        self.lines.append((event, more))

    warning = info


class FollowingGateway:
    """Follows a source in the same process; `rules` and `lists` record all that it applied, in order."""

    def __init__(self, settings=SETTINGS):
        """Starts following; only an empty configuration is published."""
        self.now_ms = 0.0
        self.rules = []
        self.lists = []
        self.log = RecordingLog()
        self.version = 0
        rng = random.Random(1)
        settings = read_settings(settings).distribution
        self.configuration = AppliedConfiguration(settings, "a", rng, self.now_ms, self, self.log)
        self.source = Source("r1", rng, Settings(), self.now_ms)
        self.publish()

    def apply_connection_rules(self, rules):
        """Records the rules."""
        self.rules.append(rules)

    def apply_endpoints(self, is_whole, records):
        """Records the engines."""
        self.lists.append((is_whole, records))

    def publish(self, **values):
        """Publishes a change of these keys under config/; None deletes one. All messages are delivered."""
        self.change({f"config/{key}": value for key, value in values.items()})

    def change(self, values):
        """Publishes a change of these keys; None deletes one. All messages are delivered."""
        self.accept(values)
        self.source.confirm(self.now_ms, 1, self.version, 0.0)
        for _ in range(100):
            self.now_ms += 50.0
            self._deliver_messages()

    def accept(self, values):
        """Makes a change of which no message is delivered yet."""
        entries = [
            wire.Entry(key=key, value=value or b"", deleted=value is None) for key, value in values.items()
        ]
        if entries:
            self.version += 1
            for entry in entries:
                entry.version = self.version
            self.source.advance(self.now_ms, 1, self.version, entries, self.now_ms)

    def _deliver_messages(self):
        subscriber = self.configuration.subscriber
        for component in (subscriber, self.source):
            if component.due_ms <= self.now_ms:
                component.tick(self.now_ms)
        for _ in range(10):
            requests = list(subscriber.outbox)
            answers = list(self.source.outbox)
            subscriber.outbox.clear()
            self.source.outbox.clear()
            for _, message in requests:
                self.source.on_message(self.now_ms, ("a", 1), message)
            for _, message in answers:
                subscriber.on_message(self.now_ms, ("r1", 1), message)
                self.configuration.apply_first_list()


def test_connection_rules_are_applied_and_those_of_the_file_again_once_they_are_deleted():
    """Keys that no gateway reads change nothing."""
    gateway = FollowingGateway()
    gateway.publish(gate=b"reserve: 3 known: '10.0.0.1'", other=b"\xff")
    gateway.publish(other=b"2")
    gateway.publish(gate=None)
    assert gateway.rules == [pb.Gate(reserve=3, known=["10.0.0.1"]), None]
    assert gateway.configuration.subscriber.applied_version == 3


def test_invalid_connection_rules_leave_the_last_valid_ones_in_force_and_are_reported():
    """Each is counted and retried; the log has one line for all, the status lines have the last cause."""
    gateway = FollowingGateway()
    gateway.publish(gate=b"prefix4: 20")
    for value in (b"prefix4: 99", b"gat: 1", b"\xff\xfe", b"reserve: 1"):
        gateway.publish(gate=value)
    subscriber = gateway.configuration.subscriber
    assert gateway.rules == [pb.Gate(prefix4=20)]
    assert (subscriber.version, subscriber.applied_version) == (5, 1) and subscriber.counts["refused"] >= 4
    warnings = [more["why"] for event, more in gateway.log.lines if event == "distribution"]
    assert (
        len(warnings) == 1 and "version 2 is not in force, 1 is: config/gate: gate.prefix4: 99" in warnings[0]
    )
    lines = gateway.configuration.lines(gateway.now_ms)
    assert any("version 5 in force 1" in line for line in lines)
    assert lines[-1] == "distribution fault: config/gate: gate.reserve: 1, but no range is known"
    gateway.publish(gate=b"prefix4: 21")
    assert gateway.rules[-1] == pb.Gate(prefix4=21) and subscriber.applied_version == 6
    assert gateway.configuration.lines(gateway.now_ms)[-1] == "distribution fault: none"


FOLLOWS_ENGINES = SETTINGS.replace('zone: "z1"', 'zone: "z1" engines: true', 1)


def record(uid, state=domain.EndpointState.SERVING, zone="z1", port=80):
    """Returns the record of an engine."""
    return EndpointRecord(uid, f"10.0.0.1:{port}", zone, "std", 2, state, 1.0, 0.0)


def entries_of(*records):
    """Returns the published entries of engines; a removed engine is a deleted key."""
    return {
        endpoint_key(record): None
        if record.state == domain.EndpointState.REMOVED
        else encode_endpoint(record)
        for record in records
    }


ALL = {COMPLETE_KEY: COMPLETE}


def test_engine_changes_are_applied_once_the_first_list_is_complete():
    """Removed engines come with their last values, before new ones."""
    gateway = FollowingGateway(FOLLOWS_ENGINES)
    gateway.change(entries_of(record("e1")))
    gateway.change(entries_of(record("e2")))
    assert gateway.lists == []
    gateway.change(ALL)
    gateway.change(entries_of(record("e1", domain.EndpointState.DRAINING)))
    gateway.change(entries_of(record("e1", domain.EndpointState.REMOVED), record("e3", port=81)))
    assert gateway.lists == [
        (True, [record("e1"), record("e2")]),
        (False, [record("e1", domain.EndpointState.DRAINING)]),
        (False, [record("e1", domain.EndpointState.REMOVED), record("e3", port=81)]),
    ]


def test_a_first_list_that_arrives_in_steps_is_applied_whole():
    """Otherwise a gateway would start with only a few of its engines."""
    gateway = FollowingGateway(FOLLOWS_ENGINES)
    many = [record(f"e{n:02d}") for n in range(60)]
    gateway.accept(ALL)
    for first in range(0, 60, 5):
        gateway.accept(entries_of(*many[first : first + 5]))
    gateway.source.outbox.clear()  # Drops the first push, made before the other changes.
    gateway.publish(other=b"1")
    ((is_whole, records),) = gateway.lists
    assert is_whole and sorted(records) == many and gateway.configuration.subscriber.counts["deltas"] > 3


def test_an_engine_that_changes_its_zone_is_never_removed():
    """Its old key is deleted and its new one added in one change."""
    gateway = FollowingGateway(FOLLOWS_ENGINES)
    gateway.change({**ALL, **entries_of(record("e1"))})
    gateway.change(
        {**entries_of(record("e1", domain.EndpointState.REMOVED)), **entries_of(record("e1", zone="z2"))}
    )
    assert gateway.lists[-1] == (False, [record("e1", zone="z2")])


def test_an_empty_configuration_removes_no_engines_before_the_first_list():
    """Once engines were applied, an empty list is applied too."""
    gateway = FollowingGateway(FOLLOWS_ENGINES)
    gateway.configuration.apply(gateway.now_ms, {}, True)
    assert gateway.lists == []
    gateway.change({**ALL, **entries_of(record("e1"))})
    gateway.configuration.apply(gateway.now_ms, {}, True)
    assert gateway.lists[-1] == (True, [])


def test_an_invalid_engine_entry_leaves_the_last_valid_list_in_force():
    """Nothing of its change is applied, not even the connection rules in it."""
    gateway = FollowingGateway(FOLLOWS_ENGINES)
    gateway.change({**ALL, **entries_of(record("e1"))})
    gateway.change({"config/gate": b"prefix4: 20", "engine/z1/e2": b"\xff"})
    assert len(gateway.lists) == 1 and gateway.rules == []
    assert gateway.configuration.fault == "engine/z1/e2: no engine's entry"
    gateway.change(entries_of(record("e2")))
    assert gateway.lists[-1] == (False, [record("e2")]) and gateway.rules[-1] == pb.Gate(prefix4=20)


def test_a_gateway_applies_no_engines_unless_the_settings_say_so():
    """Their entries are held like any other key, and not parsed."""
    gateway = FollowingGateway(SETTINGS.replace('zone: "z1"', 'zone: "z1" prefixes: "engine/"', 1))
    gateway.change({"engine/z1/e2": b"\xff"})
    assert gateway.lists == [] and gateway.configuration.subscriber.applied_version == 1


def test_relays_of_the_same_zone_come_first_then_of_the_region():
    """All other relays follow."""
    relays = read_settings(SETTINGS).distribution.relays
    assert rank_sources(relays, "a", "z1", "g1") == ["r1", "r2", "r3"]
    assert rank_sources(relays, "a", "z3", "g2")[0] == "r3"


def test_gateways_spread_over_the_relays_of_their_zone_and_those_of_a_failed_relay_over_the_rest():
    """The order is the same at each start, and no other gateway moves."""
    relays = [pb.ZoneRelay(name=f"r{i}", region="g", zone="z") for i in range(4)]
    first = {f"s{i}": rank_sources(relays, f"s{i}", "z", "g") for i in range(400)}
    assert first == {name: rank_sources(relays[::-1], name, "z", "g") for name in first}
    counts = [sum(order[0] == relay.name for order in first.values()) for relay in relays]
    assert min(counts) > 60 and max(counts) < 140
    without = {name: rank_sources(relays[1:], name, "z", "g") for name in first}
    assert all(without[n][0] == order[0] for n, order in first.items() if order[0] != "r0")
    moved = [without[name][0] for name, order in first.items() if order[0] == "r0"]
    assert len(set(moved)) == 3


def test_a_gateway_without_distributed_configuration_does_not_import_its_modules():
    """With `fleet` alone, only the settings module is loaded, because all settings are checked."""
    code = (
        "import sys, lichenquay.config.reader, lichenquay.fleet.gateway_runtime; "
        "parts = ('lichenquay.distribution', 'lichenquay.control_plane'); "
        "print(sorted(name for name in sys.modules if name.startswith(parts)))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert result.stdout.strip() == "['lichenquay.distribution', 'lichenquay.distribution.settings']"
