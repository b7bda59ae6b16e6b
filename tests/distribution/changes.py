"""Clients that propose changes all the time, and the audit of their outcomes."""

import threading
import time
from dataclasses import dataclass

from installation import FLEET
from running import until

from lichenquay.control_plane.client import Client
from lichenquay.control_plane.errors import NoAnswerError
from lichenquay.distribution import distribution_pb2 as pb

HOT_KEY = "config/hot"  # all clients change it
REQUEST_S = 2.0  # of one call; an answer in doubt is asked for again with the same request
PAUSE_S = 0.02


@dataclass
class Change:
    """One proposal: entries {key: value or None}. `started_ms`, `known_ms`: asked first, outcome known."""

    request: int
    entries: dict
    started_ms: float
    known_ms: float = float("inf")
    outcome: int = pb.Proposed.UNKNOWN
    version: int = 0
    reason: str = ""


def entries_of(values):
    """As a proposal has them."""
    return [
        pb.Entry(key=key, deleted=True) if value is None else pb.Entry(key=key, value=value)
        for key, value in values.items()
    ]


class Proposer(threading.Thread):
    """Proposes one change after the other until it is told to stop; what is in doubt is asked again."""

    def __init__(self, installation, name, voters, count=None, number_from=0):
        """count: changes at most."""
        super().__init__(daemon=True, name=name)
        addresses = [installation.address(name, voter) for voter in voters]
        self.client = Client(FLEET, addresses, REQUEST_S)
        self.client.socket.bind(("127.0.0.1", 0))
        installation.links.targets[name] = self.client.socket.getsockname()
        self.count = count
        self.number = number_from
        self.changes = []
        self.stopped = threading.Event()
        self.error = None

    def run(self):
        """Each third change is to a key of its own, the others to the hot one."""
        try:
            while not self.stopped.is_set() and (self.count is None or len(self.changes) < self.count):
                self.number += 1
                key = f"config/{self.name}-{self.number}" if self.number % 3 == 0 else HOT_KEY
                self.propose({key: f"{self.name} {self.number}".encode()})
                self.stopped.wait(PAUSE_S)
        except Exception as error:
            self.error = error

    def propose(self, values, seconds=30.0):
        """One change, asked for until its outcome is known or the time is up."""
        request = self.client.rng.getrandbits(63) + 1
        change = Change(request, values, time.monotonic() * 1000)
        self.changes.append(change)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                answer = self.client.propose(entries_of(values), request)
            except NoAnswerError:
                if self.stopped.is_set() and seconds <= REQUEST_S:
                    break
                continue
            change.outcome = answer.outcome
            change.version = answer.version
            change.reason = answer.reason
            change.known_ms = time.monotonic() * 1000
            break
        return change

    def finish(self, seconds=30.0):
        """Ends with the pending change; raises what ended the thread."""
        self.stopped.set()
        if self.is_alive():
            self.join(seconds)
            assert not self.is_alive(), "a change is in doubt for too long"
        self.client.socket.close()
        if self.error is not None:
            raise self.error


def accepted(changes):
    """In order of version."""
    return sorted((c for c in changes if c.outcome == pb.Proposed.ACCEPTED), key=lambda c: c.version)


def expected(changes):
    """{key: value} of all accepted changes together."""
    state = {}
    for change in accepted(changes):
        for key, value in change.entries.items():
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
    return state


def wait_settled(subscribers, changes, seconds=20.0):
    """Waits until all that was accepted is in force at all of them, and nothing else."""
    expected_values = expected(changes)
    try:
        until(lambda: all(h.values() == expected_values for h in subscribers), seconds)
    except AssertionError:
        raise AssertionError(_difference(subscribers, expected_values)) from None


def audit(subscribers, changes):
    """No broken rule in what clients were told and subscribers put in force."""
    made = accepted(changes)
    versions = [change.version for change in made]
    assert len(set(versions)) == len(versions), "two changes with one version"
    _audit_order(made)
    for subscriber in subscribers:
        _audit_steps(subscriber, made)
    _audit_refused(subscribers, [c for c in changes if c.outcome == pb.Proposed.REFUSED])
    _audit_digests(subscribers)


def _audit_order(made):
    """What began after another was known has a higher version."""
    for change in made:
        later = [c for c in made if c.started_ms > change.known_ms and c.version < change.version]
        assert not later, f"versions against the order of time: {change} and {later[0]}"


def _audit_steps(subscriber, made):
    """Versions only rise; each value seen is that of its version, and no other than the accepted ones."""
    numbers = [step.version for step in subscriber.steps]
    assert numbers == sorted(numbers), f"{subscriber.name}: versions in turn"
    for before, after in zip(subscriber.steps, subscriber.steps[1:], strict=False):
        assert after.version > before.version or not after.changed, f"{subscriber.name}: one version twice"
    known = {(key, change.entries[key]): change.version for change in made for key in change.entries}
    for step in subscriber.steps:
        for key, value in step.changed.items():
            version = known.get((key, value))
            assert version is not None, (
                f"{subscriber.name}: {key} is {value!r}, which nobody was told to be accepted"
            )
            assert version <= step.version, f"{subscriber.name}: {key} is {value!r} before its version"
    _audit_last(subscriber, made)


def _audit_last(subscriber, made):
    """At each step the value of a key is the last one up to that version."""
    for step in subscriber.steps:
        for key, value in step.changed.items():
            until_then = [c.entries[key] for c in made if key in c.entries and c.version <= step.version]
            assert until_then and until_then[-1] == value, f"{subscriber.name}: {key} at {step.version}"


def _audit_refused(subscribers, refused):
    seen = {
        (k, v) for subscriber in subscribers for step in subscriber.steps for k, v in step.changed.items()
    }
    for change in refused:
        assert not seen & set(change.entries.items()), f"refused, and in force: {change}"


def _audit_digests(subscribers):
    digests = {}
    for subscriber in subscribers:
        for step in subscriber.steps:
            digest = digests.setdefault(step.version, step.digest)
            assert digest == step.digest, f"{subscriber.name}: another state at version {step.version}"


def _difference(subscribers, expected_values):
    for subscriber in subscribers:
        values = subscriber.values()
        if values != expected_values:
            missing = sorted(set(expected_values.items()) - set(values.items()))[:3]
            more = sorted(set(values.items()) - set(expected_values.items()))[:3]
            held = subscriber.subscriber
            return (
                f"{subscriber.name} follows {held.source} at version {held.version}, "
                f"in force {held.applied_version}: "
                f"missing {missing}, more {more}, counts {dict(held.counts)}"
            )
    return "the values arrived just now"
