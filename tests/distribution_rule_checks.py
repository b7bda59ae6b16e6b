"""Checks of one rule each, which fail under the mutant of that rule (tests/distribution_broken.py)."""

from distribution_harness import GENERATION, Harness, delta, entry, messages_of
from distribution_world import LEASE_MS, World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import set_checksum
from lichenquay.distribution.settings import Settings

FORTY_ENGINES = {f"engine/z0/e{number}": b"v" * 60 for number in range(40)}


def harness_with_trimmed_history(settings=None, changes=FORTY_ENGINES):
    """Returns a harness whose source has `changes`; by default its history holds only the last 8."""
    harness = Harness(settings or Settings(most_changes=8))
    for key, value in changes.items():
        harness.change({key: value})
    return harness


def check_older_snapshot_is_not_fetched():
    """A restarted relay offers a state older than the held one: the subscriber does not fetch it."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.change({"config/a": b"2"})
    harness.run(2000)
    assert gateway.applied_version == 2
    old = pb.SnapshotOffer(
        session=gateway.session.session_id, generation=GENERATION, version=1, digest=7, pages=1, bytes=40
    )
    gateway.on_message(harness.now_ms, ("s", 1), pb.Message(offer=set_checksum(old, [""])))
    assert (
        gateway.snapshot_fetch is None and gateway.applied_version == 2 and not messages_of(gateway, "fetch")
    )


def check_snapshot_does_not_undo_a_delta():
    """A delta arrives during a fetch: the older snapshot does not undo it."""
    harness = harness_with_trimmed_history()
    gateway = harness.add_subscriber()
    harness.run(2000)
    offer = pb.SnapshotOffer(
        session=gateway.session.session_id,
        generation=GENERATION,
        version=gateway.version,
        digest=1,
        pages=1,
        bytes=40,
    )
    gateway.on_message(harness.now_ms, ("s", 1), pb.Message(offer=set_checksum(offer, [""])))
    assert gateway.snapshot_fetch is not None
    held = gateway.version
    last = entry("engine/z0/e0", b"new", held + 1)
    digest = gateway.state.store.digest_after([last])
    gateway.on_message(
        harness.now_ms, ("s", 1), delta(gateway.session.session_id, held, held + 1, [last], digest)
    )
    page = pb.Page(session=gateway.session.session_id, generation=GENERATION, version=held, number=0)
    gateway.on_message(harness.now_ms, ("s", 1), pb.Message(page=set_checksum(page, [""])))
    assert (
        gateway.version == gateway.applied_version == held + 1
        and gateway.applied_values["engine/z0/e0"] == b"new"
    )


def check_snapshots_are_paced():
    """Fifty subscribers start at once: the byte rate is bounded, each gets its snapshot, changes go first."""
    settings = Settings(most_changes=8, snapshot_bytes_per_s=50_000, most_snapshots=4)
    harness = harness_with_trimmed_history(settings)
    synced = harness.add_subscriber("ready")
    harness.run(1500)
    for number in range(50):
        harness.add_subscriber(f"f{number}")
    started_ms = harness.now_ms
    page_bytes = 0

    def count_pages(message):
        nonlocal page_bytes
        if message.HasField("page"):
            page_bytes += message.ByteSize()
        return message

    harness.run(500, count_pages)
    harness.change({"config/urgent": b"1"})
    harness.deliver(count_pages)
    assert synced.applied_values.get("config/urgent") == b"1"
    while (
        any(subscriber.version == 0 for subscriber in harness.subscribers.values())
        and harness.now_ms < started_ms + 60_000
    ):
        harness.run(100, count_pages)
        rate = page_bytes / (harness.now_ms - started_ms + 50) * 1000
        assert rate <= settings.snapshot_bytes_per_s * 1.05, f"{rate:.0f} bytes a second"
    assert all(subscriber.version for subscriber in harness.subscribers.values())
    assert harness.source.counts["paced"] > 10 and len(harness.source.snapshots.pacer.slots) <= 4


def check_backoff_on_digest_mismatch():
    """Ten minutes of wrong digests: at most 15 snapshot offers, one report, the applied values stay."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})
    harness.run(1500)

    def change_digest(message):
        for kind in ("delta", "offer"):
            if message.HasField(kind):
                body = getattr(message, kind)
                body.digest ^= 1
                set_checksum(body, [""])
        return message

    harness.change({"config/a": b"2"})
    harness.run(600_000, change_digest, step_ms=50)
    assert gateway.applied_version == 1 and gateway.applied_values == {"config/a": b"1"}
    assert len(harness.reports) == 1 and harness.source.counts["offers"] <= 15
    harness.run(70_000)
    assert gateway.applied_version == 2


def check_slow_subscriber_is_not_pushed():
    """A subscriber that receives nothing is sent only retries, delays no other, and resumes by version."""
    harness = Harness()
    gateway, slow = harness.add_subscriber("f"), harness.add_subscriber("slow")
    harness.run(2000)
    deltas_to_slow = 0

    def drop(message):
        nonlocal deltas_to_slow
        session = message.delta.session if message.HasField("delta") else 0
        if session == slow.session.session_id:
            deltas_to_slow += 1
            return None
        return message

    for number in range(200):
        version = harness.change({f"config/k{number}": b"v"})
        harness.run(20, drop)
        assert gateway.version >= version - 5
    assert deltas_to_slow <= 20, f"{deltas_to_slow} deltas within 4 s to a subscriber that received none"
    harness.run(5000)
    assert (
        slow.applied_values == gateway.applied_values
        and len(slow.applied_values) == 200
        and not slow.counts["snapshots"]
    )


def check_wrong_report_does_not_count():
    """A reported version that does not exist or has a wrong digest does not change the coverage."""
    harness = Harness()
    harness.change({"config/a": b"1"})
    harness.change({"config/b": b"1"})
    fields = {"session": 5, "prefixes": [""]}
    below = pb.Coverage(subscribers=100, oldest=2)
    right_digest = harness.source.history.store.digest
    for version, digest, expected in ((1 << 40, 0, 0), (2, 12345, 0), (2, right_digest, 2), (2, 12345, 2)):
        session = harness.source.sessions.get("r")
        if session is not None:
            harness.source._remove_session(session)
        if expected == 2:
            right = pb.Follow(version=2, in_force=2, digest=right_digest, number=1, below=below, **fields)
            harness.source.on_message(harness.now_ms, ("r", 1), pb.Message(follow=right))
        reported = pb.Follow(
            version=version, in_force=version, digest=digest, number=2, below=below, **fields
        )
        harness.source.on_message(harness.now_ms, ("r", 1), pb.Message(follow=reported))
        if version == 1 << 40:
            assert messages_of(harness.source, "wait")
            continue
        assert harness.source.coverage(harness.now_ms).oldest == expected


def check_expired_lease_is_not_used():
    """A publisher resumes after its lease expired and answers a relay that it is not the leader."""
    world = World(21, gateways=0)
    world.settle()
    world.run(2000)
    leader = world.leader()
    publisher, now_ms = world.process(leader).publisher, world.now(leader) + 2 * LEASE_MS
    known = publisher.source.sessions.get("r0a") or next(iter(publisher.source.sessions.values()))
    follow = pb.Follow(session=known.session_id, number=known.follow_number + 1)
    publisher.on_message(now_ms, (known.name, known.incarnation), pb.Message(follow=follow))
    publisher.tick(now_ms)
    assert [message.WhichOneof("kind") for _, message in publisher.outbox] == ["not_leader"]


def check_other_prefixes_are_rejected():
    """A source received other prefixes: the subscriber rejects its deltas by their checksums."""
    harness = Harness()
    gateway = harness.add_subscriber()
    harness.change({"config/a": b"1"})

    def change_prefixes(message):
        if message.HasField("follow") and message.follow.number == 1:
            message.follow.prefixes[:] = ["engine/"]
        return message

    harness.run(5000, change_prefixes)
    assert gateway.version == 1 and gateway.applied_values == {"config/a": b"1"}


RULE_CHECKS = {
    "checksums not checked": (check_other_prefixes_are_rejected,),
    "lease not checked before a message is served": (check_expired_lease_is_not_used,),
    "older snapshot replaces newer state": (
        check_older_snapshot_is_not_fetched,
        check_snapshot_does_not_undo_a_delta,
    ),
    "snapshots not paced": (check_snapshots_are_paced,),
    "no backoff after a digest mismatch": (check_backoff_on_digest_mismatch,),
    "pushed while a delta is unanswered": (check_slow_subscriber_is_not_pushed,),
    "reported version not checked against its digest": (check_wrong_report_does_not_count,),
}
