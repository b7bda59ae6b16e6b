"""The invariants of distribution, which have to hold at each step under all faults."""

from contextlib import contextmanager

from invariants import require

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.record_log import read_record

MAX_CLOCK_DRIFT = 0.06  # Between a process's clock and true time, with a margin.


class Audit:
    """Holds the log as known from all leaders and answers, and compares what is in force with it.

    At each message that a subscriber receives:

    - The values in force are exactly the subscribed part of the log up to their version: no change is applied
      in part, lost or reordered.
    - The held version and the version in force never fall, and nothing of an older generation is applied.
    - The reported age is correct: no change that was accepted longer ago than the age is missing.

    At the publisher: a known part of the log never changes, an accepted change stays at the version that the
    client was answered, no request is committed twice, and no key is deleted that does not exist.
    """

    def __init__(self):
        """Starts with an empty log."""
        self.log = {}  # version -> changes
        self.states = {0: {}}  # version -> {key: (value, version)}
        self.accepted_ms = {}  # version -> time of the answer
        self.requests = {}  # request -> version in the log
        self.check_count = 0

    # The log.

    @property
    def newest(self):
        """Returns the newest version known to be in the log."""
        return max(self.log, default=0)

    def on_leader(self, group):
        """Checks that a new leader has the known log, and records the rest of its log."""
        base, records = group.state
        state = pb.State.FromString(base)
        for version, record in enumerate(records, state.version + 1):
            change = read_record(record, version)
            self.record_change(
                version,
                change.request,
                {entry.key: None if entry.deleted else entry.value for entry in change.entries},
            )
        record_count = state.version + len(records)
        require(
            record_count >= self.newest,
            f"{group.name} became leader with {record_count} records, {self.newest} are known",
        )
        held = {entry.key: (entry.value, entry.version) for entry in state.entries}
        known = self.states.get(state.version)
        require(known is None or known == held, f"{group.name}: different state at version {state.version}")

    def record_change(self, version, request, changes):
        """Records that a change is in the log at a version."""
        known = self.log.setdefault(version, changes)
        require(known == changes, f"version {version} was {known}, is {changes}")
        require(
            self.requests.setdefault(request, version) == version,
            f"request {request} committed twice, now as version {version}",
        )
        if version in self.states:
            return
        require(version - 1 in self.states, f"version {version} is known before version {version - 1}")
        state = dict(self.states[version - 1])
        for key, value in changes.items():
            require(
                value is not None or key in state, f"version {version} deletes {key}, which does not exist"
            )
            state.pop(key, None)
            if value is not None:
                state[key] = value, version
        self.states[version] = state

    def on_answer(self, proposed, changes, now_ms):
        """Checks and records the answer to a client."""
        if proposed.outcome == pb.Proposed.ACCEPTED:
            self.record_change(proposed.version, proposed.request, changes)
            self.accepted_ms.setdefault(proposed.version, now_ms)
        elif proposed.outcome == pb.Proposed.REFUSED:
            require(
                proposed.request not in self.requests,
                f"request {proposed.request} was refused, but is in the log",
            )
            require(
                "\n" not in proposed.reason and proposed.reason,
                f"a refusal needs a reason of one line, got {proposed.reason!r}",
            )

    # Subscribers.

    def is_current(self, subscriber, version):
        """Returns whether a subscriber has its part of the log up to a version in force."""
        return subscriber.applied_values == self.expected(subscriber, version)

    def expected(self, subscriber, version):
        """Returns the values of a subscription at a version."""
        state = self.states.get(version)
        require(state is not None, f"{subscriber.name}: version {version} does not exist")
        return {key: value for key, (value, _) in state.items() if key.startswith(subscriber.prefixes)}

    @contextmanager
    def around_message(self, name, subscriber, message):
        """Checks versions and generation around a message that a subscriber receives."""
        generation, before = subscriber.generation, (subscriber.version, subscriber.applied_version)
        yield
        kind = message.WhichOneof("kind")
        message_generation = generation
        if kind:
            message_generation = getattr(getattr(message, kind), "generation", generation)
        after = subscriber.version, subscriber.applied_version
        is_current = message_generation >= generation
        require(
            is_current or after == before,
            f"{name} accepted {kind} of generation {message_generation} after {generation}",
        )
        require(
            subscriber.generation >= generation, f"{name} went back to generation {subscriber.generation}"
        )
        require(after >= before, f"{name} went back from {before} to {after}")
        require(subscriber.applied_version <= subscriber.version, f"{name}: (held, in force) is {after}")

    def check_gateway(self, host, subscriber, now_ms):
        """Checks values and age after each message at a gateway."""
        self.check_count += 1
        expected = self.expected(subscriber, subscriber.applied_version)
        require(
            subscriber.applied_values == expected,
            f"{host.name} at {subscriber.applied_version}: has {subscriber.applied_values}, not {expected}",
        )
        self.check_age(host, subscriber, now_ms)

    def check_relay(self, host, relay, now_ms):
        """Checks state and age after each message at a relay."""
        self.check_count += 1
        held = relay.source.history.store
        expected = self.states.get(held.version)
        require(
            held.entries == expected, f"{host.name} at {held.version}: has {held.entries}, not {expected}"
        )
        self.check_age(host, relay.subscriber, now_ms)

    def check_age(self, host, subscriber, now_ms):
        """Checks that no change that was accepted longer ago than the reported age is missing."""
        age_ms = subscriber.age_ms(now_ms)
        if age_ms == float("inf"):
            return
        true_ms = host.net.now_ms - age_ms * (1 + MAX_CLOCK_DRIFT) - 1
        for version in range(subscriber.version + 1, self.newest + 1):
            old_ms = true_ms - self.accepted_ms.get(version, float("inf"))
            require(
                old_ms <= 0,
                f"{host.name} at {subscriber.version}: age {age_ms:.0f} ms, but version {version} "
                f"was accepted {old_ms:.0f} ms earlier",
            )
