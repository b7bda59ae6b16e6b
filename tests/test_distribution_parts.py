"""Parts of distribution in hand: bounds, pacing, bad input, and each rule that has a test of its own."""

import pytest
from distribution_broken import BROKEN
from distribution_hands import GENERATION, Hands, delta, entry, said
from distribution_probes import PROBES, filled

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import marked
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber

pytestmark = pytest.mark.together


@pytest.mark.parametrize("probe", [p for probes in PROBES.values() for p in probes], ids=lambda p: p.__name__)
def test_probe(probe):
    """What the broken rules below are found by holds with the right ones."""
    probe()


@pytest.mark.parametrize("rule", PROBES)
def test_rules_broken_on_purpose_are_found_by_their_probe(rule):
    """Each by the first of its probes."""
    with BROKEN[rule](), pytest.raises(AssertionError):
        PROBES[rule][0]()


def test_changes_within_merge_ms_go_out_as_one_delta():
    """The first at once, the rest together; the last of each key; versions still increase."""
    hands = Hands()
    front = hands.subscriber()
    hands.run(2000)
    for number in range(10):
        hands.change({"config/a": b"%d" % number, f"config/b{number % 2}": b"1"})
    hands.carry()
    hands.run(500)
    assert (front.applied_version, front.applied_values["config/a"]) == (10, b"9") and front.counts[
        "deltas"
    ] == 2


def test_a_cut_subscriber_resumes_by_version():
    """Two hundred changes later, without a snapshot."""
    hands = Hands()
    front = hands.subscriber()
    hands.run(2000)
    for number in range(200):
        hands.change({f"config/k{number % 20}": b"%d" % number})
        hands.run(100, lambda message: None, step_ms=100)
    hands.run(4000)
    assert front.applied_version == 200 and not front.counts["snapshots"] and front.counts["deltas"] > 1


def test_one_behind_the_history_costs_one_snapshot():
    """And goes on with deltas."""
    hands = filled()
    front = hands.subscriber()
    hands.run(2000)
    hands.change({"config/a": b"1"})
    hands.run(500)
    assert front.applied_version == 41 and front.counts["snapshots"] == 1 and front.counts["deltas"] == 1


def test_one_that_holds_nothing_gets_a_snapshot_though_the_history_is_whole():
    """Deltas of a long history would not be paced; of a short one they are less than a snapshot."""
    hands = filled(Settings())
    front = hands.subscriber()
    hands.run(2000)
    assert front.applied_version == 40 and front.counts["snapshots"] == 0
    for number in range(100):
        hands.change({f"engine/z1/e{number}": bytes(60)})
    other = hands.subscriber("other")
    hands.run(2000)
    assert other.applied_values == front.applied_values
    assert other.counts["snapshots"] == 1 and front.counts["snapshots"] == 0


def test_one_wrong_delta_costs_one_snapshot():
    """What was in force stays until it is whole."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.run(2000)
    wrong = entry("config/a", b"9", 2)
    front.heard(hands.now_ms, ("s", 1), delta(front.session.session_id, 1, 2, [wrong], 99))
    assert front.applied_values == {"config/a": b"1"} and front.counts["digest_wrong"] == 1
    hands.run(3000)
    assert (
        front.counts["snapshots"] == 1
        and front.applied_values == {"config/a": b"1"}
        and len(hands.lines) == 1
    )


def test_a_snapshot_cut_off_half_way_harms_nobody():
    """Pages stop; the subscriber keeps what it has, goes on elsewhere, and others are served."""
    hands = filled()
    front, other = hands.subscriber(), hands.subscriber("other")
    seen = []

    def cut(message):
        mine = message.HasField("page") and message.page.session == front.session.session_id
        seen.append(mine)
        return None if mine and sum(seen) > 2 else message

    hands.run(3000, cut)
    assert front.version == 0 and front.applied_values == {} and not hands.applied[1:]
    assert len(other.applied_values) == 40
    hands.run(6000)
    assert front.applied_values == other.applied_values


def test_a_fetch_that_takes_longer_than_a_session_lives_is_finished():
    """Many that fetch at once, pages in quick succession for half a minute: none begins anew."""
    settings = Settings(most_changes=8, snapshot_bytes_per_s=20_000)
    hands = filled(settings, {f"config/k{n}": bytes(60) for n in range(600)})
    fronts = [hands.subscriber(f"f{number}") for number in range(8)]
    begun = hands.now_ms
    while not all(front.version for front in fronts) and hands.now_ms < begun + 60_000:
        hands.run(500)
    assert hands.now_ms - begun > 1.3 * settings.expire_ms
    assert all(front.version == 600 and front.counts["snapshots"] == 1 for front in fronts)
    assert not hands.source.counts["expired"] and not any(front.counts["failovers"] for front in fronts)


def test_a_subscriber_goes_to_the_next_source_and_back_round():
    """A silent one is left after `silent_ms`."""
    hands = Hands()
    front = hands.subscriber(sources=("gone", "s"))
    hands.change({"config/a": b"1"})
    hands.run(hands.settings.silent_ms + 1000)
    assert front.source == "s" and front.applied_version == 1 and front.counts["failovers"] == 1


def test_a_source_that_fails_again_and_again_is_tried_ever_later():
    """Risk: a relay that answers now and then costs each of its subscribers `silent_ms` every time."""
    hands = Hands()
    front = hands.subscriber(sources=("lost", "s"))
    tried = []

    def note(message):
        if message.HasField("follow") and message.follow.number == 1:
            tried.append(hands.now_ms)
        return message

    hands.run(400_000, note)
    tried = tried[2:]  # without those of its start and of its failover
    gaps = [later - sooner for sooner, later in zip(tried, tried[1:], strict=False)]
    silent_ms = hands.settings.silent_ms
    assert front.source == "s" and front.counts["failovers"] == 1 and not front.counts["failbacks"]
    assert gaps[-1] > 10 * silent_ms and max(gaps) < 52 * silent_ms and len(gaps) < 16


def test_a_leave_ends_only_the_session_that_it_names():
    """Risk: a Leave that comes late would end the session that its sender has by now."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.run(2000)
    for session, incarnation in ((front.session.session_id + 1, 1), (front.session.session_id, 2)):
        hands.source.heard(
            hands.now_ms, (front.name, incarnation), pb.Message(leave=pb.Leave(session=session))
        )
    assert hands.source.coverage(hands.now_ms).subscribers == 1
    leave = pb.Message(leave=pb.Leave(session=front.session.session_id))
    hands.source.heard(hands.now_ms, (front.name, 1), leave)
    assert hands.source.coverage(hands.now_ms) == pb.Coverage(oldest=hands.source.version)


def test_prefixes_are_bounded():
    """At the subscriber when it is made, and at the source."""
    hands = Hands()
    with pytest.raises(ValueError):
        hands.subscriber(prefixes=[f"config/{n}" for n in range(17)])
    with pytest.raises(ValueError):
        hands.subscriber(prefixes=["config/" + f"{n}" * 57 for n in range(16)])
    follow = pb.Follow(session=1, prefixes=[f"config/{n}" for n in range(17)])
    hands.source.heard(hands.now_ms, ("f", 1), pb.Message(follow=follow))
    assert hands.source.counts["malformed"] == 1 and not hands.source.sessions


def test_sessions_and_views_are_bounded():
    """One more of either is told to wait; both are free again when sessions expire."""
    hands = Hands(Settings(most_sessions=5, most_views=3))
    for number in range(7):
        follow = pb.Follow(session=number + 1, number=1, prefixes=[f"config/{number}"])
        hands.source.heard(hands.now_ms, (f"f{number}", 1), pb.Message(follow=follow))
    assert len(hands.source.sessions) == 3 and len(said(hands.source, "wait")) == 4
    for number in range(7):
        follow = pb.Follow(session=number + 9, number=1, prefixes=["config/0"])
        hands.source.heard(hands.now_ms, (f"g{number}", 1), pb.Message(follow=follow))
    assert len(hands.source.sessions) == 5 and len(hands.source.history.views) == 3
    hands.run(hands.settings.expire_ms + 100)
    assert not hands.source.sessions and not hands.source.history.views
    assert hands.source.coverage(hands.now_ms).stale == 5


def test_an_unknown_session_is_asked_for_its_prefixes():
    """A source that started anew says so, and the subscription goes on."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.run(2000)
    hands.source.reset(hands.now_ms, hands.source.history.store, GENERATION + 1)
    hands.source.confirm(hands.now_ms, GENERATION + 1, 1, 0.0)
    hands.run(1500)
    assert front.generation == GENERATION + 1 and "f" in hands.source.sessions


def test_nothing_of_an_older_generation_is_taken():
    """Neither at a subscriber nor at a source."""
    hands = Hands()
    front = hands.subscriber()
    hands.run(2000)
    last = entry("config/a", b"1", 1)
    digest = front.store.digest_after([last])
    old = delta(front.session.session_id, 0, 1, [last], digest, generation=GENERATION - 1)
    front.heard(hands.now_ms, ("s", 1), old)
    assert front.version == 0 and front.counts["old_generation"] == 1
    assert not hands.source.advance(hands.now_ms, GENERATION - 1, 1, [last], hands.now_ms)
    assert hands.source.version == 0


@pytest.mark.parametrize(
    "fields",
    [
        {"age_ms": float("nan")},
        {"age_ms": -1.0},
        {"age_ms": float("inf")},
        {"newest": 0},
        {"newest": 1 << 60},
        {"mark": 1},
        {"entries": [entry("engine/other", b"1", 2)]},
        {"entries": [entry("config/a", b"1", 9)]},
    ],
)
def test_senseless_deltas_change_nothing(fields):
    """They are counted."""
    hands = Hands()
    front = hands.subscriber(prefixes=["config/"])
    hands.change({"config/a": b"1"})
    hands.run(2000)
    message = delta(front.session.session_id, 1, 2, [entry("config/a", b"2", 2)], 1)
    for name, value in fields.items():
        if name == "entries":
            del message.delta.entries[:]
            message.delta.entries.extend(value)
        else:
            setattr(message.delta, name, value)
    if "mark" not in fields:
        marked(message.delta, ["config/"])
    front.heard(hands.now_ms, ("s", 1), message)
    assert (
        front.counts["malformed"] == 1 and front.applied_values == {"config/a": b"1"} and front.version == 1
    )


def test_what_a_front_refused_is_tried_again_ever_later():
    """Versions that bring it nothing new don't count; one line; then it is in force."""
    hands = Hands()
    front = hands.subscriber(prefixes=["config/"])
    hands.fault = "no room"
    hands.change({"config/a": b"1"})
    for number in range(60):
        hands.change({"engine/z0/e": b"%d" % number})
        hands.run(1000)
    assert front.version > 50 and front.applied_version == 0 and front.applied_values == {}
    assert 5 < front.counts["refused"] < 15 and len(hands.lines) == 1
    assert hands.source.coverage(hands.now_ms).refused == 1
    hands.fault = None
    hands.run(9000)
    assert front.applied_version == front.version and front.applied_values == {"config/a": b"1"}


def test_a_stopped_subscriber_says_nothing():
    """What is in force stays."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.run(2000)
    front.stop()
    hands.run(3000)
    assert front.due_ms == float("inf") and not front.outbox and front.applied_values == {"config/a": b"1"}


def test_a_subscriber_needs_a_source():
    """ValueError."""
    with pytest.raises(ValueError):
        Subscriber("f", [], [""], None, Settings(), 0.0, None)
