"""Tests of one rule each, which the rule broken on purpose (tests/distribution_broken.py) must fail."""

from distribution_hands import GENERATION, Hands, delta, entry, said
from distribution_world import LEASE_MS, World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import marked
from lichenquay.distribution.settings import Settings

MANY = {f"engine/z0/e{n}": b"v" * 60 for n in range(40)}


def filled(settings=None, changes=MANY):
    """A source that holds keys, and whose history does not reach back to its beginning."""
    hands = Hands(settings or Settings(most_changes=8))
    for key, value in changes.items():
        hands.change({key: value})
    return hands


def probe_snapshot_below_what_is_held():
    """A relay that started anew offers a state older than what is held: it is not taken."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.change({"config/a": b"2"})
    hands.run(2000)
    assert front.applied_version == 2
    old = pb.SnapshotOffer(
        session=front.session.session_id, generation=GENERATION, version=1, digest=7, pages=1, bytes=40
    )
    front.heard(hands.now_ms, ("s", 1), pb.Message(offer=marked(old, [""])))
    assert front.snapshot_fetch is None and front.applied_version == 2 and not said(front, "fetch")


def probe_changes_while_a_snapshot_is_fetched():
    """A delta that comes between the pages is not taken back by them."""
    hands = filled()
    front = hands.subscriber()
    hands.run(2000)
    offer = pb.SnapshotOffer(
        session=front.session.session_id,
        generation=GENERATION,
        version=front.version,
        digest=1,
        pages=1,
        bytes=40,
    )
    front.heard(hands.now_ms, ("s", 1), pb.Message(offer=marked(offer, [""])))
    assert front.snapshot_fetch is not None
    held = front.version
    last = entry("engine/z0/e0", b"new", held + 1)
    digest = front.store.digest_after([last])
    front.heard(hands.now_ms, ("s", 1), delta(front.session.session_id, held, held + 1, [last], digest))
    page = pb.Page(session=front.session.session_id, generation=GENERATION, version=held, number=0)
    front.heard(hands.now_ms, ("s", 1), pb.Message(page=marked(page, [""])))
    assert (
        front.version == front.applied_version == held + 1 and front.applied_values["engine/z0/e0"] == b"new"
    )


def probe_pacing():
    """Fifty that begin at once: bytes a second bounded, all get it, and a change goes ahead of the pages."""
    settings = Settings(most_changes=8, snapshot_bytes_per_s=50_000, most_snapshots=4)
    hands = filled(settings)
    ready = hands.subscriber("ready")
    hands.run(1500)
    for number in range(50):
        hands.subscriber(f"f{number}")
    sent, begun, size = [], hands.now_ms, 0

    def count_pages(message):
        nonlocal size
        size += message.ByteSize() if message.HasField("page") else 0
        sent.append(message.WhichOneof("kind"))
        return message

    hands.run(500, count_pages)
    hands.change({"config/urgent": b"1"})
    hands.carry(count_pages)
    assert ready.applied_values.get("config/urgent") == b"1"
    while any(s.version == 0 for s in hands.subscribers.values()) and hands.now_ms < begun + 60_000:
        hands.run(100, count_pages)
        rate = size / (hands.now_ms - begun + 50) * 1000
        assert rate <= settings.snapshot_bytes_per_s * 1.05, f"{rate:.0f} bytes a second"
    assert all(s.version for s in hands.subscribers.values())
    assert hands.source.counts["paced"] > 10 and len(hands.source.snapshots.pacer.slots) <= 4


def probe_digest_that_never_matches():
    """Ten minutes of wrong digests: a handful of snapshots, one line, what is in force stays."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})
    hands.run(1500)

    def spoil(message):
        for kind in ("delta", "offer"):
            if message.HasField(kind):
                body = getattr(message, kind)
                body.digest ^= 1
                marked(body, [""])
        return message

    hands.change({"config/a": b"2"})
    hands.run(600_000, spoil, step_ms=50)
    assert front.applied_version == 1 and front.applied_values == {"config/a": b"1"}
    assert len(hands.lines) == 1 and hands.source.counts["offers"] <= 15
    hands.run(70_000)
    assert front.applied_version == 2


def probe_slow_subscriber():
    """One that hears nothing is sent its retries only; others are not delayed; it resumes by version."""
    hands = Hands()
    front, slow = hands.subscriber("f"), hands.subscriber("slow")
    hands.run(2000)
    to_slow = 0

    def drop(message):
        nonlocal to_slow
        session = message.delta.session if message.HasField("delta") else 0
        if session == slow.session.session_id:
            to_slow += 1
            return None
        return message

    for number in range(200):
        version = hands.change({f"config/k{number}": b"v"})
        hands.run(20, drop)
        assert front.version >= version - 5
    assert to_slow <= 20, f"{to_slow} deltas within 4 s to one that heard none"
    hands.run(5000)
    assert (
        slow.applied_values == front.applied_values
        and len(slow.applied_values) == 200
        and not slow.counts["snapshots"]
    )


def probe_lying_relay():
    """A version that nobody made, or with a wrong digest, counts for nothing."""
    hands = Hands()
    hands.change({"config/a": b"1"})
    hands.change({"config/b": b"1"})
    session = {"session": 5, "prefixes": [""]}
    below = pb.Coverage(subscribers=100, oldest=2)
    held = hands.source.history.store.digest
    for version, digest, expected in ((1 << 40, 0, 0), (2, 12345, 0), (2, held, 2), (2, 12345, 2)):
        hands.source.sessions.get("r") and hands.source._remove_session(hands.source.sessions["r"])
        if expected == 2:
            right = pb.Follow(version=2, in_force=2, digest=held, number=1, below=below, **session)
            hands.source.heard(hands.now_ms, ("r", 1), pb.Message(follow=right))
        told = pb.Follow(version=version, in_force=version, digest=digest, number=2, below=below, **session)
        hands.source.heard(hands.now_ms, ("r", 1), pb.Message(follow=told))
        if version == 1 << 40:
            assert said(hands.source, "wait")
            continue
        assert hands.source.coverage(hands.now_ms).oldest == expected


def probe_lease_over():
    """A publisher that runs again after a pause, and hears a relay first, says that it is not the leader."""
    world = World(21, fronts=0)
    world.settle()
    world.run(2000)
    leader = world.holder()
    publisher, now_ms = world.part(leader).publisher, world.now(leader) + 2 * LEASE_MS
    known = publisher.source.sessions.get("r0a") or next(iter(publisher.source.sessions.values()))
    follow = pb.Follow(session=known.session_id, number=known.follow_number + 1)
    publisher.heard(now_ms, (known.name, known.incarnation), pb.Message(follow=follow))
    publisher.tick(now_ms)
    assert [m.WhichOneof("kind") for _, m in publisher.outbox] == ["not_leader"]


def probe_other_prefixes():
    """A source that understood other prefixes serves nothing that is taken for what was asked for."""
    hands = Hands()
    front = hands.subscriber()
    hands.change({"config/a": b"1"})

    def other(message):
        if message.HasField("follow") and message.follow.number == 1:
            message.follow.prefixes[:] = ["engine/"]
        return message

    hands.run(5000, other)
    assert front.version == 1 and front.applied_values == {"config/a": b"1"}


PROBES = {
    "marks not checked": (probe_other_prefixes,),
    "the lease not asked before a message is served": (probe_lease_over,),
    "a snapshot over a newer delta": (
        probe_snapshot_below_what_is_held,
        probe_changes_while_a_snapshot_is_fetched,
    ),
    "snapshots not paced": (probe_pacing,),
    "no back-off after a wrong digest": (probe_digest_that_never_matches,),
    "pushed without an answer to the last push": (probe_slow_subscriber,),
    "a relay's version believed": (probe_lying_relay,),
}
