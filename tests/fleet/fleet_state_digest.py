"""A digest of a gateway's state in virtual time: two runs with equal digests, and equal datagrams so far,
continue alike.

Counters are left out, as no decision depends on them. So is what the next event sets anew (`now_ms`).
"""

from hashlib import blake2b
from random import Random

from google.protobuf.message import Message

IGNORED_ATTRIBUTES = {
    "counts",
    "foreign_messages",
    "implausible_answers",
    "implausible_messages",
    "misdirected_requests",
    "shed_requests",
    "loans_barred",
    "uncertain_writes",
    "expiries",
    "now_ms",
    "settings",
    "rng",
    "random",  # the random generator is shared by all parts of a gateway, and collected once
}
SCALAR_TYPES = (bool, int, str, bytes, type(None))


def state_digest(process):
    """Returns (name, digest of the process's state), or (name, None) if it is down."""
    runtime = process.runtime
    if runtime is None:
        return (process.name, None)
    parts, seen = [], set()
    timer_due_ms = runtime.timer.due_ms if runtime.timer is not None and runtime.timer.active() else None
    quota, disk = runtime.quota_participant, process.disk
    for part in (
        process.is_socket_closed,
        runtime.incarnation,
        runtime.is_leaving,
        timer_due_ms,
        disk.free_ms,
        disk.state,
        runtime.detector,
        quota.group,
        quota.leader,
        quota.escrow,
        quota.answering_leader,
        quota.unanswered_since_ms,
        quota.next_leader_check_ms,
        quota.asked_voter,
        runtime.rng,
    ):
        collect(part, parts, seen)
    return process.name, blake2b(repr(parts).encode(), digest_size=12).hexdigest()


def collect(value, parts, seen):
    """Appends a canonical form of a value, and of all that it refers to, to `parts`. `seen` holds ids of
    objects already collected.
    """
    if isinstance(value, SCALAR_TYPES):
        parts.append(value)
    elif isinstance(value, float):
        parts.append(round(value, 3))
    elif isinstance(value, Message):
        parts.append(value.SerializeToString(deterministic=True))
    elif isinstance(value, Random):
        parts.append(hash(value.getstate()))
    elif id(value) in seen:
        parts.append("again")
    elif isinstance(value, dict):
        seen.add(id(value))
        parts.append(len(value))
        for key, item in value.items():
            collect(key, parts, seen)
            collect(item, parts, seen)
    elif isinstance(value, (set, frozenset)):
        parts.append(sorted(map(repr, value)))
    elif isinstance(value, (list, tuple)) or hasattr(value, "popleft"):
        parts.append(len(value))
        for item in value:
            collect(item, parts, seen)
    elif callable(value):
        parts.append("call")
    else:
        seen.add(id(value))
        parts.append(type(value).__name__)
        names = list(getattr(value, "__dict__", ())) + [
            slot for cls in type(value).__mro__ for slot in getattr(cls, "__slots__", ())
        ]
        for name in names:
            if name not in IGNORED_ATTRIBUTES:
                collect(getattr(value, name, None), parts, seen)
