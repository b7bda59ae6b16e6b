"""Takeovers that need a voter which lacks much of the state, over slow and lossy links, in virtual time."""

import random

import pytest

from lichenquay.lease.group import LeaseGroup, accept_any_state, concatenate
from lichenquay.lease.log import ReplicatedLog
from lichenquay.lease.messages import (
    AcquireGrant,
    RecoveryNotice,
    SnapshotChunk,
    SnapshotRequest,
    wrap,
)
from lichenquay.lease.phases import Phase
from lichenquay.lease.quorum import Quorum
from lichenquay.lease.replication import LogReplicator
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.snapshot_transfer import LogSnapshot, LogSnapshotFetch
from lichenquay.testbed.scale.probes import lease as probe
from lichenquay.testbed.virtual_network import LinkConditions

TARGET_MS = 10_000.0  # CAPACITY: a takeover with the ledger's state, at round trips of 60 ms
LEDGER_KB = 608
LARGEST_KB = 1_000  # within `max_state_bytes` of the probe's settings
WINDOW_BYTES = probe.SETTINGS.chunk_bytes * probe.SETTINGS.chunk_window


def lagging_voters(size_kb, round_trip_ms, loss, seed):
    """Returns three voters of which the third lacks this much of the state, over links like these."""
    voters = probe.Voters(probe.ROUND_TRIP_MS, seed, concatenate)
    voters.net.split([probe.VOTERS[2]], list(probe.VOTERS[:2]))
    for _ in range(max(1, size_kb * 1_000 // probe.LAGGING_RECORD_BYTES)):
        voters.write(probe.LAGGING_RECORD_BYTES)
    one_way_ms = round_trip_ms / 2
    voters.net.reset_links(LinkConditions(delay_ms=(one_way_ms, one_way_ms), loss=loss))
    return voters


def takeover_ms(voters, candidates, timeout_ms):
    """Returns the time from the holder's kill until a candidate holds the lease; None: not in time."""
    started_ms = voters.net.now_ms
    voters.net.kill(probe.VOTERS[0])
    for name in candidates:
        voters.net.call(name, probe.LAYER, "set_candidate", True)
    groups = [(voters.net.hosts[name], voters.net.hosts[name].parts[probe.LAYER]) for name in candidates]
    is_held = voters.net.run(
        started_ms + timeout_ms, lambda: any(group.holds(host.now_ms()) for host, group in groups)
    )
    return voters.net.now_ms - started_ms if is_held else None


@pytest.mark.parametrize("candidates", [probe.VOTERS[1:], probe.VOTERS[2:], probe.VOTERS[1:2]])
@pytest.mark.parametrize("seed", [1, 7])
def test_a_takeover_with_the_ledgers_state_is_within_the_target(seed, candidates):
    """Guards against a group without a leader for good: the transfer takes longer than a lease."""
    voters = lagging_voters(LEDGER_KB, 60.0, 0.0, seed)
    assert takeover_ms(voters, candidates, TARGET_MS) is not None


@pytest.mark.parametrize("loss", [0.0, 0.01])
@pytest.mark.parametrize("round_trip_ms", [20.0, 100.0])
def test_a_takeover_makes_progress_at_any_delay(round_trip_ms, loss):
    """It takes the time of the transfer, with as much again for lost messages, and of a takeover."""
    voters = lagging_voters(LARGEST_KB, round_trip_ms, loss, seed=3)
    transfer_ms = LARGEST_KB * 1_000 / WINDOW_BYTES * round_trip_ms
    assert takeover_ms(voters, probe.VOTERS[1:], TARGET_MS + 2 * transfer_ms) is not None


def test_a_transfer_survives_a_cut_that_outlasts_the_lease():
    """The fetching candidate continues with the chunks that it has; it does not begin anew."""
    voters = lagging_voters(LEDGER_KB, 60.0, 0.0, seed=1)
    lagging = voters.net.hosts[probe.VOTERS[2]].parts[probe.LAYER]
    assert takeover_ms(voters, probe.VOTERS[2:], 5_000.0) is None
    fetched_count = len(lagging.part.leadership.latest_fetch.chunks)
    assert fetched_count > 100
    voters.net.split([probe.VOTERS[2]], [probe.VOTERS[1]])
    voters.net.run(voters.net.now_ms + 2 * probe.SETTINGS.lease_ms)
    voters.net.reset_links(LinkConditions(delay_ms=(30.0, 30.0)))
    voters.net.run(
        voters.net.now_ms + TARGET_MS,
        lambda: (
            lagging.part.leadership.latest_fetch is None
            or len(lagging.part.leadership.latest_fetch.chunks) > fetched_count
        ),
    )
    fetch = lagging.part.leadership.latest_fetch
    assert fetch is None or len(fetch.chunks) > fetched_count
    assert voters.net.run(voters.net.now_ms + TARGET_MS, lambda: lagging.part.holds(lagging_now(voters)))


def lagging_now(voters):
    """Returns the time of the lagging voter's clock."""
    return voters.net.hosts[probe.VOTERS[2]].now_ms()


def test_an_acquisition_that_no_majority_granted_is_abandoned_after_a_lease():
    """Voters with lost folders rely on it: nothing that a voter sends prolongs it."""
    settings = LeaseSettings()
    group = LeaseGroup(
        "g", "a", 1, ("a", "b", "c"), random.Random(1), settings, 0.0, {}, is_new_disk=True, fold=concatenate
    )
    group.set_candidate(0.0, True)
    started_ms = group.due_ms
    group.tick(started_ms)
    generation = group.leadership.generation
    assert generation and group.leadership.phase is Phase.ACQUIRING
    middle_ms = started_ms + settings.lease_ms / 2
    for body in (SnapshotRequest(generation, 0, 0), SnapshotChunk(generation, 0, 0, b"x")):
        group.on_message(middle_ms, ("b", 1), wrap("g", body))
    group.tick(started_ms + settings.lease_ms - 1.0)
    assert group.leadership.phase is Phase.ACQUIRING
    group.tick(started_ms + settings.lease_ms)
    assert group.leadership.phase is Phase.IDLE


def test_a_fetch_resumes_only_the_same_bytes():
    """Chunks of another log are not taken over, nor those of none."""
    settings = LeaseSettings(chunk_bytes=100, chunk_window=2)
    log = ReplicatedLog(generation=3, records=[b"x" * 500])
    snapshot = LogSnapshot(log)
    earlier = LogSnapshotFetch(0.0, "b", 4, snapshot.offer(), settings, accept_any_state)
    for chunk in snapshot.chunks(earlier.request(0.0), settings):
        earlier.add_chunk(1.0, "b", chunk)
    fetch = LogSnapshotFetch(5.0, "c", 6, snapshot.offer(), settings, accept_any_state)
    fetch.resume(earlier)
    assert fetch.missing_offset == 200
    other = LogSnapshot(ReplicatedLog(generation=3, records=[b"y" * 500]))
    fetch = LogSnapshotFetch(5.0, "c", 6, other.offer(), settings, accept_any_state)
    fetch.resume(earlier)
    assert fetch.missing_offset == 0
    fetch.resume(None)
    assert fetch.missing_offset == 0


def test_chunks_that_are_fetched_again_are_no_progress():
    """Guards against an acquisition that lasts for ever as its chunks never match the offer."""
    settings = LeaseSettings(chunk_bytes=100, chunk_window=20)
    snapshot = LogSnapshot(ReplicatedLog(generation=3, records=[b"x" * 500]))
    offer = snapshot.offer()._replace(crc=snapshot.crc ^ 1)
    fetch = LogSnapshotFetch(0.0, "b", 4, offer, settings, accept_any_state)
    for now_ms in (10.0, 20.0):
        for chunk in snapshot.chunks(fetch.request(now_ms), settings):
            fetch.add_chunk(now_ms, "b", chunk._replace(crc=offer.crc))
        assert fetch.assembled_log() is None and fetch.missing_offset == 0
    assert fetch.last_progress_ms == 10.0


def test_a_candidate_does_not_spin_on_a_voter_that_recovers():
    """Guards against a tick that is due at once for ever: a recovering voter is sent nothing meanwhile."""
    settings = LeaseSettings()
    group = LeaseGroup(
        "g", "a", 1, ("a", "b", "c"), random.Random(1), settings, 0.0, {}, is_new_disk=True, fold=concatenate
    )
    group.set_candidate(0.0, True)
    now_ms = group.due_ms
    group.tick(now_ms)
    leadership = group.leadership
    group.on_stored(now_ms, group.store_requests[-1].number, True)
    offer = LogSnapshot(ReplicatedLog()).offer()
    token = leadership.acquisition.echo_token
    for name in ("b", "c"):
        grant = AcquireGrant(leadership.generation, token, offer.position, offer)
        group.on_message(now_ms, (name, 1), wrap("g", grant))
    assert leadership.phase is Phase.REPLICATING
    group.on_message(now_ms, ("c", 2), wrap("g", RecoveryNotice(leadership.generation, token, 7)))
    now_ms += settings.retry_ms
    group.tick(now_ms)
    assert leadership.phase is Phase.REPLICATING and group.due_ms > now_ms


@pytest.mark.parametrize("interval_ms", [1_000.0, 100.0])
def test_a_voter_catches_up_while_records_are_appended(interval_ms):
    """Guards against a voter that never gets back: folded records make each snapshot useless on arrival."""
    voters = lagging_voters(LEDGER_KB, 60.0, 0.0, seed=1)
    holder, lagging = (voters.net.hosts[probe.VOTERS[index]] for index in (0, 2))
    started_ms = voters.net.now_ms
    lagging_log = lagging.parts[probe.LAYER].part.voter
    results = []

    def has_caught_up():
        return voters.group.leadership.log.index - lagging_log.log.index < probe.SETTINGS.max_records // 2

    while not has_caught_up() and voters.net.now_ms < started_ms + 2 * TARGET_MS:
        voters.group.append(holder.now_ms(), b"r" * 200, lambda _, is_committed: results.append(is_committed))
        voters.net.call(probe.VOTERS[0], probe.LAYER, "set_candidate", True)
        voters.net.run(voters.net.now_ms + interval_ms)
    assert has_caught_up() and all(results)


def test_records_are_folded_although_a_voter_catches_up_if_there_is_no_room():
    """A voter that never completes its fetch does not fill the holder's memory."""
    settings = LeaseSettings(max_records=2, max_state_bytes=1_000)
    quorum = Quorum(("a", "b", "c"))
    replicator = LogReplicator(1, ReplicatedLog(), quorum, random.Random(1), settings, lambda *_: None)
    quorum.catch_up_ms = 5.0
    for _ in range(9):
        replicator.log.append(b"x" * 100)
        replicator.fold_if_due(6.0, lambda base, records: b"base")
    assert len(replicator.log.records) == 9
    replicator.log.append(b"x" * 100)
    replicator.fold_if_due(6.0, lambda base, records: b"base")
    assert len(replicator.log.records) == 1
    for _ in range(2):
        replicator.log.append(b"x")
    replicator.fold_if_due(5.0 + settings.lease_ms + 1.0, lambda base, records: b"base")
    assert len(replicator.log.records) == 1
