"""Faults by chance, and one message changed at a time, over the rules of test_members: never an exception, always
one view in the end."""

import random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from test_membership import QUICK, ruled

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.settings import Settings
from lichenquay.testbed.fleetnet import Weather

STORM = Weather(loss=0.15, delay_ms=(0.2, 20), doubled=0.1, late=0.05, late_ms=2_000)


def rests(fleet, faults_ms, most_ms=40_000):
    """After the last fault, whose pauses and late messages last up to `faults_ms` more: everyone that runs is alive
    in one view, and that stays."""
    fleet.run(faults_ms)
    assert fleet.until(fleet.agree, most_ms, 100) is not None, [w.members() for w in fleet.up()]
    fleet.log.clear()
    fleet.run(1_000)
    running = {w.name: w.incarnation for w in fleet.up()}
    assert fleet.agree()
    assert not [
        c
        for *_, c in fleet.log
        if c.new_state in ("faulty", "removed", "left") and running.get(c.name) == c.incarnation
    ]


def act(fleet, what, a, b):
    net, names = fleet.net, fleet.names
    a, b = names[a % len(names)], names[b % len(names)]
    if what == "kill":
        net.kill(a)
    elif what == "start":
        net.start(a)
    elif what == "pause":
        net.pause(a, 700)
    elif what == "long pause":
        net.pause(a, 4_500)
    elif what == "leave":
        net.call(a, "members", "leave")
    elif what == "one way":
        net.between([a], [b], cut=True)
    elif what == "not heard":
        net.between([a], names, cut=True)
    elif what == "part":
        net.split(names[:2], names[2:])
    else:
        net.mend()


ACTS = [
    "kill",
    "start",
    "start",
    "pause",
    "long pause",
    "leave",
    "one way",
    "not heard",
    "part",
    "mend",
    "mend",
]


@settings(
    max_examples=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)  # A failing schedule takes minutes to shrink.
@given(
    st.integers(0, 2**32),
    st.lists(
        st.tuples(st.sampled_from(ACTS), st.integers(0, 4), st.integers(0, 4), st.integers(0, 3_000)),
        min_size=1,
        max_size=12,
    ),
)
def test_whatever_happened_the_fleet_comes_to_rest_in_one_view(seed, acts):
    fleet = ruled(4, seed, STORM, QUICK, joined=False)
    fleet.run(500)
    for what, a, b, wait in acts:
        act(fleet, what, a, b)
        fleet.run(wait)
    fleet.net.mend(Weather(loss=0.02))
    for name in fleet.names[:3]:
        if not fleet.net.hosts[name].up or fleet.watch(name).end_reason:
            fleet.net.start(name)
    rests(fleet, 6_000)
    assert fleet.rules.steps > 100


# --- one message changed at a time

SHORT = Settings(
    probe_period_ms=200,
    suspicion_timeout_ms=900,
    removal_timeout_ms=1_500,
    sync_interval_ms=1_000,
    faulty_probe_interval_ms=400,
    max_tick_delay_ms=200,
)


def scenario(seed, meddle=None, s=SHORT):
    """Three fronts join, one is killed, cut and gone, and comes again; one leaves in order and comes again; one
    stands still."""
    fleet = ruled(3, seed, Weather(), s, joined=False)
    fleet.net.meddle = meddle
    net = fleet.net
    for ms, what, *args in (
        (2_000, net.kill, "f1"),
        (5_500, net.start, "f1"),
        (6_500, net.call, "f2", "members", "leave"),
        (7_200, net.start, "f2"),
        (8_000, net.pause, "f0", 600),
    ):
        net.at(ms, what, *args)
    net.run(9_000)
    return fleet


EDGES = {"uint32": (0, 1, 2**31, 2**32 - 1), "uint64": (0, 1, 2**40 - 1, 2**48 - 1, 2**63, 2**64 - 1)}


def leaves(message, path=()):
    """Paths of all scalar fields that can be changed: (holder, field, index or None)."""
    for field in message.DESCRIPTOR.fields:
        many = field.is_repeated
        value = getattr(message, field.name)
        if field.message_type is None:
            for i in range(len(value)) if many else (None,):
                yield message, field, i
        elif many:
            for sub in value:
                yield from leaves(sub)
        elif message.HasField(field.name):
            yield from leaves(value)


def change(rng, message):
    """A copy with one field moved to a neighbour or an edge."""
    copy = type(message)()
    copy.CopyFrom(message)
    holder, field, i = rng.choice(list(leaves(copy)))
    old = getattr(holder, field.name) if i is None else getattr(holder, field.name)[i]
    if isinstance(old, bool):
        new = not old
    elif isinstance(old, str):
        new = rng.choice(["", old + "x", old[:-1], "f0", "f1", "f2", "x" * 65])
    elif field.enum_type is not None:
        new = rng.randrange(7)
    else:
        top = 2**32 if field.cpp_type == field.CPPTYPE_UINT32 else 2**64
        new = rng.choice([(old + 1) % top, (old - 1) % top, *EDGES["uint32" if top == 2**32 else "uint64"]])
    if i is None:
        setattr(holder, field.name, new)
    else:
        getattr(holder, field.name)[i] = new
    return copy


def mutant(rng, target, message):
    """What comes instead: (how, [(target, delay_ms, message)])."""
    how = rng.choice(
        [
            "lost",
            "doubled",
            "late",
            "later than the incarnation",
            "past the next",
            "another's",
            "rows lost",
            "field",
            "field",
            "field",
        ]
    )
    others = [n for n in ("f0", "f1", "f2") if n != target]
    return how, {
        "lost": [],
        "doubled": [(target, 1, message), (target, 30, message)],
        "late": [(target, 700, message)],
        "later than the incarnation": [(target, 5_600, message)],
        "past the next": [(target, 3, message)],
        "another's": [(rng.choice(others), 1, message)],
        "field": [(target, 1, change(rng, message))],
        "rows lost": [(target, 1, bare(message))],
    }[how]


def bare(message):
    copy = pb.Message()
    copy.CopyFrom(message)
    del copy.rows[:]
    return copy


@pytest.mark.parametrize("part", range(4))
def test_one_message_changed_changes_nothing_that_matters(part):
    whole = scenario(part)
    assert whole.agree()
    total, found = whole.net.messages, set()
    assert total > 300
    for k in range(30):
        rng = random.Random(f"{part}/{k}")
        which = rng.randrange(1, total + 1)

        def meddle(no, source, target, layer, message):
            if no != which:
                return None
            how, instead = mutant(rng, target, message)
            found.add(how)
            return instead

        fleet = scenario(part, meddle)
        fleet.net.meddle = None
        rests(fleet, 200)
    assert len(found) > 5
