"""What must be true of distribution at each step, whatever happens."""

from contextlib import contextmanager

from invariants import require

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.record_log import read_record

DRIFT = 0.06  # Between a process's clock and true time, and a rest.


class Audit:
    """Compares what is in force with the log up to its version; knows the log of all leaders and all answers.

    Checked at each message that a subscriber receives:

    - what is in force is exactly the log up to its version, as far as it is subscribed: nothing half, lost
      or reordered
    - the version held and the one in force only rise; nothing comes of an older generation than was known
    - the age is true: no change accepted longer ago than the age is missing

    And of the publisher: the log never changes behind a version that was known of, an accepted change stays
    at the version that was answered, no request is made twice, no key is deleted that is not there.
    """

    def __init__(self):
        """Knows of nothing yet."""
        self.log = {}  # version -> changes
        self.states = {0: {}}  # version -> {key: (value, version)}
        self.accepted_ms = {}  # version -> time of the answer
        self.requests = {}  # request -> version in the log
        self.checked = 0

    # The log.

    @property
    def newest(self):
        """The newest version known to be in the log."""
        return max(self.log, default=0)

    def on_leader(self, group):
        """A voter became the leader: it holds all that was accepted, and what it holds stays."""
        base, records = group.state
        state = pb.State.FromString(base)
        for version, record in enumerate(records, state.version + 1):
            change = read_record(record, version)
            self.record_change(
                version,
                change.request,
                {entry.key: None if entry.deleted else entry.value for entry in change.entries},
            )
        last = state.version + len(records)
        require(last >= self.newest, f"{group.name} holds with {last} records, {self.newest} were known")
        held = {entry.key: (entry.value, entry.version) for entry in state.entries}
        known = self.states.get(state.version)
        require(known is None or known == held, f"{group.name}: another state at version {state.version}")

    def record_change(self, version, request, changes):
        """A record is in the log."""
        known = self.log.setdefault(version, changes)
        require(known == changes, f"version {version} was {known}, is {changes}")
        require(
            self.requests.setdefault(request, version) == version, f"request {request} made twice: {version}"
        )
        if version in self.states:
            return
        require(version - 1 in self.states, f"version {version} before {version - 1}")
        state = dict(self.states[version - 1])
        for key, value in changes.items():
            require(value is not None or key in state, f"version {version} deletes {key}, which is not there")
            state.pop(key, None)
            if value is not None:
                state[key] = value, version
        self.states[version] = state

    def on_answer(self, proposed, changes, now_ms):
        """A client was answered."""
        if proposed.outcome == pb.Proposed.ACCEPTED:
            self.record_change(proposed.version, proposed.request, changes)
            self.accepted_ms.setdefault(proposed.version, now_ms)
        elif proposed.outcome == pb.Proposed.REFUSED:
            require(proposed.request not in self.requests, f"request {proposed.request} refused, yet made")
            require("\n" not in proposed.reason and proposed.reason, "a refusal without one clear line")

    # Subscribers.

    def is_current(self, subscriber, version):
        """Whether a subscriber has in force all that concerns it up to a version."""
        return subscriber.applied_values == self.expected(subscriber, version)

    def expected(self, subscriber, version):
        """The values of a subscription at a version."""
        state = self.states.get(version)
        require(state is not None, f"{subscriber.name}: version {version} was never made")
        return {key: value for key, (value, _) in state.items() if key.startswith(subscriber.prefixes)}

    @contextmanager
    def around_message(self, name, subscriber, message):
        """Around each message that a subscriber receives."""
        generation, before = subscriber.generation, (subscriber.version, subscriber.applied_version)
        yield
        kind = message.WhichOneof("kind")
        message_generation = generation
        if kind:
            message_generation = getattr(getattr(message, kind), "generation", generation)
        after = subscriber.version, subscriber.applied_version
        is_current = message_generation >= generation
        require(
            is_current or after == before, f"{name} took {kind} of {message_generation}, it knew {generation}"
        )
        require(
            subscriber.generation >= generation, f"{name} goes back to generation {subscriber.generation}"
        )
        require(after >= before, f"{name} goes back from {before} to {after}")
        require(
            subscriber.applied_version <= subscriber.version, f"{name}: {after}: in force before it is held"
        )

    def check_gateway(self, host, subscriber, now_ms):
        """After each message at a gateway."""
        self.checked += 1
        expected = self.expected(subscriber, subscriber.applied_version)
        require(
            subscriber.applied_values == expected,
            f"{host.name} at {subscriber.applied_version}: has {subscriber.applied_values}, not {expected}",
        )
        self.check_age(host, subscriber, now_ms)

    def check_relay(self, host, relay, now_ms):
        """After each message at a relay."""
        self.checked += 1
        held = relay.source.history.store
        expected = self.states.get(held.version)
        require(
            held.entries == expected, f"{host.name} at {held.version}: has {held.entries}, not {expected}"
        )
        self.check_age(host, relay.subscriber, now_ms)

    def check_age(self, host, subscriber, now_ms):
        """No change that was accepted longer ago than the age is missing."""
        age_ms = subscriber.age_ms(now_ms)
        if age_ms == float("inf"):
            return
        true_ms = host.net.now_ms - age_ms * (1 + DRIFT) - 1
        for version in range(subscriber.version + 1, self.newest + 1):
            old_ms = true_ms - self.accepted_ms.get(version, float("inf"))
            require(
                old_ms <= 0,
                f"{host.name} at {subscriber.version} says {age_ms:.0f} ms, {version} is {old_ms:.0f} older",
            )
