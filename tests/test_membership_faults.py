"""Random faults and single mutated messages: the group converges to one view, and all invariants hold."""

import random
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from membership_world import FAULTY, LEFT, QUICK, REMOVED, make_fleet

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.settings import Settings
from lichenquay.testbed.virtual_network import LinkConditions

LOSSY_NETWORK = LinkConditions(loss=0.15, delay_ms=(0.2, 20), doubled=0.1, late=0.05, late_ms=2_000)
CONVERGENCE_MS = 40_000


def check_converges(fleet, settling_ms):
    """Checks that all running members are alive in one view within 40 s of the last fault's end, and stay so.

    The last fault's pauses and late messages last up to `settling_ms` more.
    """
    fleet.run(settling_ms)
    tables = [detector.members() for detector in fleet.up()]
    assert fleet.until(fleet.views_agree, CONVERGENCE_MS, 100) is not None, tables
    fleet.log.clear()
    fleet.run(1_000)
    running = {detector.name: detector.incarnation for detector in fleet.up()}
    assert fleet.views_agree()
    changes = [change for *_, change in fleet.log if running.get(change.name) == change.incarnation]
    assert not [change for change in changes if change.new_state in (FAULTY, REMOVED, LEFT)]


def inject(fleet, fault, first, second):
    """Injects one fault at members of a fleet, given by their numbers."""
    net, names = fleet.net, fleet.names
    first, second = names[first % len(names)], names[second % len(names)]
    faults = {
        "kill": lambda: net.kill(first),
        "start": lambda: net.start(first),
        "pause": lambda: net.pause(first, 700),
        "long pause": lambda: net.pause(first, 4_500),
        "leave": lambda: net.call(first, "members", "leave"),
        "one way": lambda: net.between([first], [second], cut=True),
        "not received": lambda: net.between([first], names, cut=True),
        "partition": lambda: net.split(names[:2], names[2:]),
        "heal": net.reset_links,
    }
    faults[fault]()


# Starting and healing are drawn twice as often as the others.
FAULTS = [
    "kill",
    "start",
    "start",
    "pause",
    "long pause",
    "leave",
    "one way",
    "not received",
    "partition",
    "heal",
    "heal",
]
schedules = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 4), st.integers(0, 4), st.integers(0, 3_000)),
    min_size=1,
    max_size=12,
)


# Shrinking a failing schedule would take minutes, so schedules are only generated.
@settings(
    max_examples=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)
@given(st.integers(0, 2**32), schedules)
def test_the_group_converges_to_one_view_after_any_faults(seed, schedule):
    """Kills, pauses, leaves, one-way links and partitions, in a network that loses and reorders messages."""
    fleet = make_fleet(4, seed, LOSSY_NETWORK, QUICK, joined=False)
    fleet.run(500)
    for fault, first, second, wait_ms in schedule:
        inject(fleet, fault, first, second)
        fleet.run(wait_ms)
    fleet.net.reset_links(LinkConditions(loss=0.02))
    for name in fleet.names[:3]:
        if not fleet.net.hosts[name].up or fleet.watch(name).end_reason:
            fleet.net.start(name)
    check_converges(fleet, 6_000)
    assert fleet.invariants.check_count > 100


# Runs in which one message is mutated.

SCENARIO_SETTINGS = Settings(
    probe_period_ms=200,
    suspicion_timeout_ms=900,
    removal_timeout_ms=1_500,
    sync_interval_ms=1_000,
    faulty_probe_interval_ms=400,
    max_tick_delay_ms=200,
)
MEMBERS = ("f0", "f1", "f2")
MUTATIONS_PER_SEED = 30
BOUNDARY_VALUES = {
    "uint32": (0, 1, 2**31, 2**32 - 1),
    "uint64": (0, 1, 2**40 - 1, 2**48 - 1, 2**63, 2**64 - 1),
}


def run_scenario(seed, replace_message=None):
    """Runs a scenario with three members.

    One is killed, removed and restarted; one leaves and rejoins; one is paused.
    """
    fleet = make_fleet(3, seed, settings=SCENARIO_SETTINGS, joined=False)
    fleet.net.intercept = replace_message
    net = fleet.net
    for at_ms, action, *arguments in (
        (2_000, net.kill, "f1"),
        (5_500, net.start, "f1"),
        (6_500, net.call, "f2", "members", "leave"),
        (7_200, net.start, "f2"),
        (8_000, net.pause, "f0", 600),
    ):
        net.at(at_ms, action, *arguments)
    net.run(9_000)
    return fleet


class ScalarField(NamedTuple):
    """A field that can be changed; `index` is its position in a repeated field, else None."""

    holder: object
    descriptor: object
    index: int | None

    @property
    def value(self):
        """The current value."""
        value = getattr(self.holder, self.descriptor.name)
        return value if self.index is None else value[self.index]

    def set(self, value):
        """Changes the value."""
        if self.index is None:
            setattr(self.holder, self.descriptor.name, value)
        else:
            getattr(self.holder, self.descriptor.name)[self.index] = value


def scalar_fields(message):
    """Yields all scalar fields of a message and of its nested messages."""
    for descriptor in message.DESCRIPTOR.fields:
        value = getattr(message, descriptor.name)
        if descriptor.message_type is None:
            indexes = range(len(value)) if descriptor.is_repeated else (None,)
            for index in indexes:
                yield ScalarField(message, descriptor, index)
        elif descriptor.is_repeated:
            for part in value:
                yield from scalar_fields(part)
        elif message.HasField(descriptor.name):
            yield from scalar_fields(value)


def other_value(rng, field):
    """Returns a neighbour of a field's value, or a value at the boundary of its range."""
    old = field.value
    if isinstance(old, bool):
        return not old
    if isinstance(old, str):
        return rng.choice(["", old + "x", old[:-1], *MEMBERS, "x" * 65])
    if field.descriptor.enum_type is not None:
        return rng.randrange(7)
    is_short = field.descriptor.cpp_type == field.descriptor.CPPTYPE_UINT32
    modulus = 2**32 if is_short else 2**64
    boundary_values = BOUNDARY_VALUES["uint32" if is_short else "uint64"]
    return rng.choice([(old + 1) % modulus, (old - 1) % modulus, *boundary_values])


def with_one_field_changed(rng, message):
    """Returns a copy of a message in which one field has another value."""
    copy = copy_of(message)
    field = rng.choice(list(scalar_fields(copy)))
    field.set(other_value(rng, field))
    return copy


def without_rows(message):
    """Returns a copy of a message that carries no rows."""
    copy = copy_of(message)
    del copy.rows[:]
    return copy


def copy_of(message):
    """Returns a copy of a message."""
    copy = pb.Message()
    copy.CopyFrom(message)
    return copy


# A changed field is three times as likely as any other mutation.
MUTATIONS = [
    "lost",
    "duplicated",
    "delayed",
    "delayed past the incarnation",
    "reordered",
    "misrouted",
    "rows lost",
    "field changed",
    "field changed",
    "field changed",
]


def mutate(rng, receiver, message):
    """Returns (mutation, [(receiver, delay in ms, message)]) to be delivered in place of a message."""
    mutation = rng.choice(MUTATIONS)
    other_receiver = rng.choice([name for name in MEMBERS if name != receiver])
    changed = with_one_field_changed(rng, message)
    deliveries = {
        "lost": [],
        "duplicated": [(receiver, 1, message), (receiver, 30, message)],
        "delayed": [(receiver, 700, message)],
        "delayed past the incarnation": [(receiver, 5_600, message)],
        "reordered": [(receiver, 3, message)],
        "misrouted": [(other_receiver, 1, message)],
        "field changed": [(receiver, 1, changed)],
        "rows lost": [(receiver, 1, without_rows(message))],
    }
    return mutation, deliveries[mutation]


def mutate_message(number, rng, applied_mutations):
    """Returns a function that mutates the message with a number in a run, and records the mutation."""

    def replace_message(message_number, _sender, receiver, _layer, message):
        if message_number != number:
            return None
        mutation, deliveries = mutate(rng, receiver, message)
        applied_mutations.add(mutation)
        return deliveries

    return replace_message


@pytest.mark.parametrize("seed", range(4))
def test_the_group_converges_after_one_message_was_mutated(seed):
    """Mutates one random message per run: lost, duplicated, delayed, reordered, misrouted or changed."""
    unmutated = run_scenario(seed)
    assert unmutated.agree()
    message_count = unmutated.net.messages
    assert message_count > 300
    applied_mutations = set()
    for test in range(MUTATIONS_PER_SEED):
        rng = random.Random(f"{seed}/{test}")
        number = rng.randrange(1, message_count + 1)
        fleet = run_scenario(seed, mutate_message(number, rng, applied_mutations))
        fleet.net.intercept = None
        check_converges(fleet, 200)
    assert len(applied_mutations) > 5
