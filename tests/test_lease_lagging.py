"""Voters that lack state or are recovering, as a candidate or holder meets them."""

import random

from lichenquay.lease.group import LeaseGroup, concatenate
from lichenquay.lease.log import ReplicatedLog
from lichenquay.lease.messages import (
    AcquireGrant,
    RecoveryNotice,
    wrap,
)
from lichenquay.lease.phases import Phase
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.snapshot_transfer import LogSnapshot


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
