"""Sources and subscribers without a network: limits, pacing, invalid input, and mutants with their checks."""

import pytest
from distribution_broken import MUTANTS
from distribution_harness import GENERATION, Harness, delta, entry, messages_of
from distribution_rule_checks import RULE_CHECKS, harness_with_trimmed_history

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import set_checksum
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber

pytestmark = pytest.mark.together
ALL_CHECKS = [check for checks in RULE_CHECKS.values() for check in checks]


@pytest.mark.parametrize("check", ALL_CHECKS, ids=lambda check: check.__name__)
def test_each_rule_check_passes_without_a_mutant(check):
    """The checks that detect the mutants below pass on the unchanged code."""
    check()


@pytest.mark.parametrize("mutant", RULE_CHECKS)
def test_each_mutant_is_detected_by_its_check(mutant):
    """The first of its checks fails."""
    with MUTANTS[mutant](), pytest.raises(AssertionError):
        RULE_CHECKS[mutant][0]()


def test_changes_within_merge_ms_are_sent_as_one_delta():
    """The first change is sent at once, the others in one delta with the last entry of each key."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.run(2000)
    for number in range(10):
        harness.change({"config/a": b"%d" % number, f"config/b{number % 2}": b"1"})
    harness.deliver()
    harness.run(500)
    assert (gateway.applied_version, gateway.applied_values["config/a"]) == (10, b"9") and gateway.counts[
        "deltas"
    ] == 2


def test_a_subscriber_resumes_by_version_after_a_partition():
    """It receives 200 changes as deltas, without a snapshot."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.run(2000)
    for number in range(200):
        harness.change({f"config/k{number % 20}": b"%d" % number})
        harness.run(100, lambda message: None, step_ms=100)
    harness.run(4000)
    assert gateway.applied_version == 200 and not gateway.counts["snapshots"] and gateway.counts["deltas"] > 1


def test_a_subscriber_behind_the_history_gets_one_snapshot():
    """It continues with deltas."""
    harness = harness_with_trimmed_history()
    gateway = harness.add_subscriber()
    harness.run(2000)
    harness.change({"config/a": b"1"})
    harness.run(500)
    assert (
        gateway.applied_version == 41 and gateway.counts["snapshots"] == 1 and gateway.counts["deltas"] == 1
    )


def test_an_empty_subscriber_gets_a_snapshot_if_the_history_is_long():
    """Deltas of a long history would be unpaced; a short history is sent as deltas."""
    harness = harness_with_trimmed_history(Settings())
    gateway = harness.add_subscriber()
    harness.run(2000)
    assert gateway.applied_version == 40 and gateway.counts["snapshots"] == 0
    for number in range(100):
        harness.change({f"engine/z1/e{number}": bytes(60)})
    other = harness.add_subscriber("other")
    harness.run(2000)
    assert other.applied_values == gateway.applied_values
    assert other.counts["snapshots"] == 1 and gateway.counts["snapshots"] == 0


def test_a_digest_mismatch_leads_to_one_snapshot():
    """The values in force stay until the snapshot is complete."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.run(2000)
    wrong = entry("config/a", b"9", 2)
    gateway.on_message(harness.now_ms, ("s", 1), delta(gateway.session.session_id, 1, 2, [wrong], 99))
    assert gateway.applied_values == {"config/a": b"1"} and gateway.counts["digest_wrong"] == 1
    harness.run(3000)
    assert (
        gateway.counts["snapshots"] == 1
        and gateway.applied_values == {"config/a": b"1"}
        and len(harness.reports) == 1
    )


def test_an_interrupted_snapshot_is_not_applied_and_delays_no_other_subscriber():
    """Once its pages are no longer dropped, the subscriber completes its fetch."""
    harness = harness_with_trimmed_history()
    gateway, other = harness.add_subscriber(), harness.add_subscriber("other")
    seen = []

    def drop_after_two_pages(message):
        is_of_gateway = message.HasField("page") and message.page.session == gateway.session.session_id
        seen.append(is_of_gateway)
        return None if is_of_gateway and sum(seen) > 2 else message

    harness.run(3000, drop_after_two_pages)
    assert gateway.version == 0 and gateway.applied_values == {} and not harness.applied[1:]
    assert len(other.applied_values) == 40
    harness.run(6000)
    assert gateway.applied_values == other.applied_values


def test_a_fetch_that_takes_longer_than_expire_ms_completes():
    """Eight subscribers fetch at once at a low rate: no session expires and no fetch restarts."""
    settings = Settings(most_changes=8, snapshot_bytes_per_s=20_000)
    harness = harness_with_trimmed_history(
        settings, {f"config/k{number}": bytes(60) for number in range(600)}
    )
    gateways = [harness.add_subscriber(f"f{number}") for number in range(8)]
    started_ms = harness.now_ms
    while not all(gateway.version for gateway in gateways) and harness.now_ms < started_ms + 60_000:
        harness.run(500)
    assert harness.now_ms - started_ms > 1.3 * settings.expire_ms
    assert all(gateway.version == 600 and gateway.counts["snapshots"] == 1 for gateway in gateways)
    assert not harness.source.counts["expired"] and not any(
        gateway.counts["failovers"] for gateway in gateways
    )


def test_a_subscriber_fails_over_from_a_silent_source():
    """After `silent_ms`."""
    harness = Harness()
    gateway = harness.add_subscriber(sources=("gone", "s"))
    harness.change({"config/a": b"1"})
    harness.run(harness.settings.silent_ms + 1000)
    assert gateway.source == "s" and gateway.applied_version == 1 and gateway.counts["failovers"] == 1


def test_failback_to_a_failing_source_is_tried_with_backoff():
    """Without it, a relay that answers intermittently would cost each subscriber `silent_ms` every time."""
    harness = Harness()
    gateway = harness.add_subscriber(sources=("lost", "s"))
    trial_times_ms = []

    def record_trial(message):
        if message.HasField("follow") and message.follow.number == 1:
            trial_times_ms.append(harness.now_ms)
        return message

    harness.run(400_000, record_trial)
    trial_times_ms = trial_times_ms[2:]  # Without the connections at the start and at the failover.
    gaps = [later - earlier for earlier, later in zip(trial_times_ms, trial_times_ms[1:], strict=False)]
    silent_ms = harness.settings.silent_ms
    assert gateway.source == "s" and gateway.counts["failovers"] == 1 and not gateway.counts["failbacks"]
    assert gaps[-1] > 10 * silent_ms and max(gaps) < 52 * silent_ms and len(gaps) < 16


def test_a_leave_ends_only_the_session_that_it_names():
    """Otherwise a delayed Leave would end the sender's newer session."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.run(2000)
    for session, incarnation in ((gateway.session.session_id + 1, 1), (gateway.session.session_id, 2)):
        harness.source.on_message(
            harness.now_ms, (gateway.name, incarnation), pb.Message(leave=pb.Leave(session=session))
        )
    assert harness.source.coverage(harness.now_ms).subscribers == 1
    leave = pb.Message(leave=pb.Leave(session=gateway.session.session_id))
    harness.source.on_message(harness.now_ms, (gateway.name, 1), leave)
    assert harness.source.coverage(harness.now_ms) == pb.Coverage(oldest=harness.source.version)


def test_prefixes_are_bounded():
    """A subscriber with too many or too long ones is not created, and a source drops its Follow."""
    harness = Harness()
    with pytest.raises(ValueError):
        harness.add_subscriber(prefixes=[f"config/{number}" for number in range(17)])
    with pytest.raises(ValueError):
        harness.add_subscriber(prefixes=["config/" + f"{number}" * 57 for number in range(16)])
    follow = pb.Follow(session=1, prefixes=[f"config/{number}" for number in range(17)])
    harness.source.on_message(harness.now_ms, ("f", 1), pb.Message(follow=follow))
    assert harness.source.counts["malformed"] == 1 and not harness.source.sessions


def test_sessions_and_views_are_bounded():
    """Subscribers above either limit are asked to wait; both are freed when sessions expire."""
    harness = Harness(Settings(most_sessions=5, most_views=3))
    for number in range(7):
        follow = pb.Follow(session=number + 1, number=1, prefixes=[f"config/{number}"])
        harness.source.on_message(harness.now_ms, (f"f{number}", 1), pb.Message(follow=follow))
    assert len(harness.source.sessions) == 3 and len(messages_of(harness.source, "wait")) == 4
    for number in range(7):
        follow = pb.Follow(session=number + 9, number=1, prefixes=["config/0"])
        harness.source.on_message(harness.now_ms, (f"g{number}", 1), pb.Message(follow=follow))
    assert len(harness.source.sessions) == 5 and len(harness.source.history.views) == 3
    harness.run(harness.settings.expire_ms + 100)
    assert not harness.source.sessions and not harness.source.history.views
    assert harness.source.coverage(harness.now_ms).stale == 5


def test_an_unknown_session_is_asked_for_its_prefixes():
    """After a source lost its sessions, its subscribers subscribe again."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.run(2000)
    harness.source.reset(harness.now_ms, harness.source.history.store, GENERATION + 1)
    harness.source.confirm(harness.now_ms, GENERATION + 1, 1, 0.0)
    harness.run(1500)
    assert gateway.generation == GENERATION + 1 and "f" in harness.source.sessions


def test_changes_of_an_older_generation_are_rejected():
    """By subscribers and by sources."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.run(2000)
    last = entry("config/a", b"1", 1)
    digest = gateway.state.store.digest_after([last])
    old = delta(gateway.session.session_id, 0, 1, [last], digest, generation=GENERATION - 1)
    gateway.on_message(harness.now_ms, ("s", 1), old)
    assert gateway.version == 0 and gateway.counts["old_generation"] == 1
    assert not harness.source.advance(harness.now_ms, GENERATION - 1, 1, [last], harness.now_ms)
    assert harness.source.version == 0


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
def test_malformed_deltas_change_nothing(fields):
    """They are counted."""
    harness = Harness()
    gateway = harness.add_subscriber(prefixes=["config/"])
    harness.change({"config/a": b"1"})
    harness.run(2000)
    message = delta(gateway.session.session_id, 1, 2, [entry("config/a", b"2", 2)], 1)
    for name, value in fields.items():
        if name == "entries":
            del message.delta.entries[:]
            message.delta.entries.extend(value)
        else:
            setattr(message.delta, name, value)
    if "mark" not in fields:
        set_checksum(message.delta, ["config/"])
    gateway.on_message(harness.now_ms, ("s", 1), message)
    assert (
        gateway.counts["malformed"] == 1
        and gateway.applied_values == {"config/a": b"1"}
        and gateway.version == 1
    )


def test_refused_values_are_retried_with_backoff():
    """Versions without new values do not trigger a retry, and only one line is reported."""
    harness = Harness()
    gateway = harness.add_subscriber(prefixes=["config/"])
    harness.refusal = "no room"
    harness.change({"config/a": b"1"})
    for number in range(60):
        harness.change({"engine/z0/e": b"%d" % number})
        harness.run(1000)
    assert gateway.version > 50 and gateway.applied_version == 0 and gateway.applied_values == {}
    assert 5 < gateway.counts["refused"] < 15 and len(harness.reports) == 1
    assert harness.source.coverage(harness.now_ms).refused == 1
    harness.refusal = None
    harness.run(9000)
    assert gateway.applied_version == gateway.version and gateway.applied_values == {"config/a": b"1"}


def test_a_stopped_subscriber_sends_nothing():
    """Its values in force stay."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.run(2000)
    gateway.stop()
    harness.run(3000)
    assert (
        gateway.due_ms == float("inf") and not gateway.outbox and gateway.applied_values == {"config/a": b"1"}
    )


def test_a_subscriber_needs_a_source():
    """Without one the constructor raises ValueError."""
    with pytest.raises(ValueError):
        Subscriber("f", [], [""], None, Settings(), 0.0, None)
