"""Clients that propose changes continuously, and the audit of the outcomes."""

import threading
import time
from dataclasses import dataclass

from installation import FLEET
from running import until

from lichenquay.control_plane.client import Client
from lichenquay.control_plane.errors import NoAnswerError
from lichenquay.distribution import distribution_pb2 as pb

SHARED_KEY = "config/hot"  # All clients change it.
REQUEST_TIMEOUT_S = 2.0  # Of one call, after which it is repeated with the same request number.
PAUSE_S = 0.02


@dataclass
class Change:
    """One proposal of entries {key: value or None}.

    `started_ms` is when it was first sent, `known_ms` when its outcome became known.
    """

    request: int
    entries: dict
    started_ms: float
    known_ms: float = float("inf")
    outcome: int = pb.Proposed.UNKNOWN
    version: int = 0
    reason: str = ""


def entries_of(values):
    """Returns {key: value or None} as entries of a proposal."""
    return [
        pb.Entry(key=key, deleted=True) if value is None else pb.Entry(key=key, value=value)
        for key, value in values.items()
    ]


class Proposer(threading.Thread):
    """Proposes one change after the other until it is stopped, and repeats those that are in doubt."""

    def __init__(self, installation, name, voters, max_changes=None, first_number=1):
        """`max_changes`: None for no limit."""
        super().__init__(daemon=True, name=name)
        addresses = [installation.address(name, voter) for voter in voters]
        self.client = Client(FLEET, addresses, REQUEST_TIMEOUT_S)
        self.client.socket.bind(("127.0.0.1", 0))
        installation.links.targets[name] = self.client.socket.getsockname()
        self.max_changes = max_changes
        self.number = first_number - 1
        self.changes = []
        self.stopped = threading.Event()
        self.error = None

    def run(self):
        """Proposes every third change to a key of its own, the others to the shared key."""
        try:
            while not self.stopped.is_set() and (
                self.max_changes is None or len(self.changes) < self.max_changes
            ):
                self.number += 1
                key = f"config/{self.name}-{self.number}" if self.number % 3 == 0 else SHARED_KEY
                self.propose({key: f"{self.name} {self.number}".encode()})
                self.stopped.wait(PAUSE_S)
        except Exception as error:
            self.error = error

    def propose(self, values, seconds=30.0):
        """Proposes one change, repeatedly until its outcome is known or the time is over; returns it."""
        request = self.client.rng.getrandbits(63) + 1
        change = Change(request, values, time.monotonic() * 1000)
        self.changes.append(change)
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            try:
                answer = self.client.propose(entries_of(values), request)
            except NoAnswerError:
                if self.stopped.is_set() and seconds <= REQUEST_TIMEOUT_S:
                    break
                continue
            change.outcome = answer.outcome
            change.version = answer.version
            change.reason = answer.reason
            change.known_ms = time.monotonic() * 1000
            break
        return change

    def finish(self, seconds=30.0):
        """Stops after the pending change; raises the exception that ended the thread, if any."""
        self.stopped.set()
        if self.is_alive():
            self.join(seconds)
            assert not self.is_alive(), f"{self.name}: a change is in doubt for more than {seconds} s"
        self.client.socket.close()
        if self.error is not None:
            raise self.error


def accepted(changes):
    """Returns the accepted changes, sorted by version."""
    return sorted(
        (change for change in changes if change.outcome == pb.Proposed.ACCEPTED),
        key=lambda change: change.version,
    )


def expected_values(changes):
    """Returns {key: value} after all accepted changes."""
    state = {}
    for change in accepted(changes):
        for key, value in change.entries.items():
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
    return state


def wait_settled(subscribers, changes, seconds=20.0):
    """Waits until exactly the accepted changes are in force at all subscribers."""
    values = expected_values(changes)
    try:
        until(lambda: all(subscriber.values() == values for subscriber in subscribers), seconds)
    except AssertionError:
        raise AssertionError(_describe_difference(subscribers, values)) from None


def audit(subscribers, changes):
    """Checks the clients' answers and the subscribers' steps against each other."""
    accepted_changes = accepted(changes)
    versions = [change.version for change in accepted_changes]
    assert len(set(versions)) == len(versions), "two changes with one version"
    _audit_order(accepted_changes)
    for subscriber in subscribers:
        _audit_steps(subscriber, accepted_changes)
    _audit_refused(subscribers, [change for change in changes if change.outcome == pb.Proposed.REFUSED])
    _audit_digests(subscribers)


def _audit_order(accepted_changes):
    """Checks that a change proposed after another one was accepted has a higher version."""
    for change in accepted_changes:
        later = [
            other
            for other in accepted_changes
            if other.started_ms > change.known_ms and other.version < change.version
        ]
        assert not later, f"versions against the order of time: {change} and {later[0]}"


def _audit_steps(subscriber, accepted_changes):
    """Checks that versions never fall and that each value is from an accepted change up to its version."""
    versions = [step.version for step in subscriber.steps]
    assert versions == sorted(versions), f"{subscriber.name}: versions fall: {versions}"
    for before, after in zip(subscriber.steps, subscriber.steps[1:], strict=False):
        assert after.version > before.version or not after.changed, (
            f"{subscriber.name}: version {after.version} applied twice"
        )
    accepted_versions = {
        (key, change.entries[key]): change.version for change in accepted_changes for key in change.entries
    }
    for step in subscriber.steps:
        for key, value in step.changed.items():
            version = accepted_versions.get((key, value))
            assert version is not None, (
                f"{subscriber.name}: {key} is {value!r}, which no client was told is accepted"
            )
            assert version <= step.version, f"{subscriber.name}: {key} is {value!r} before its version"
    _audit_last_values(subscriber, accepted_changes)


def _audit_last_values(subscriber, accepted_changes):
    """Checks that at each step the value of a changed key is the last one up to that version."""
    for step in subscriber.steps:
        for key, value in step.changed.items():
            history = [
                change.entries[key]
                for change in accepted_changes
                if key in change.entries and change.version <= step.version
            ]
            assert history and history[-1] == value, f"{subscriber.name}: {key} at {step.version}"


def _audit_refused(subscribers, refused):
    seen = {
        entry for subscriber in subscribers for step in subscriber.steps for entry in step.changed.items()
    }
    for change in refused:
        assert not seen & set(change.entries.items()), f"a refused change is in force: {change}"


def _audit_digests(subscribers):
    digests = {}
    for subscriber in subscribers:
        for step in subscriber.steps:
            digest = digests.setdefault(step.version, step.digest)
            assert digest == step.digest, f"{subscriber.name}: different state at version {step.version}"


def _describe_difference(subscribers, expected):
    for subscriber in subscribers:
        values = subscriber.values()
        if values != expected:
            missing = sorted(set(expected.items()) - set(values.items()))[:3]
            unexpected = sorted(set(values.items()) - set(expected.items()))[:3]
            held = subscriber.subscriber
            return (
                f"{subscriber.name} follows {held.source} at version {held.version}, "
                f"in force {held.applied_version}: "
                f"missing {missing}, unexpected {unexpected}, counts {dict(held.counts)}"
            )
    return "the values arrived right after the timeout"
