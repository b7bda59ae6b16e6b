"""A digest of what a front in virtual time holds: two runs that agree on it (and on all that was sent) go on alike.

Counters are left out: nothing is decided by them. So is what is set anew by whatever comes next (`now_ms`).
"""

from hashlib import blake2b
from random import Random

from google.protobuf.message import Message

SKIP = {
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
    "random",
}  # random: one source for all of a front, looked at by itself
PLAIN = (bool, int, str, bytes, type(None))


def mark(process):
    """Of one process; None where it does not run."""
    f = process.fleet
    if f is None:
        return (process.name, None)
    out, seen = [], set()
    timer = f.timer.due if f.timer is not None and f.timer.active() else None
    a, disk = f.quota_participant, process.disk
    for part in (
        process.deaf,
        f.incarnation,
        f.is_leaving,
        timer,
        disk.free_ms,
        disk.state,
        f.detector,
        a.group,
        a.leader,
        a.escrow,
        a.answering_leader,
        a.unanswered_since_ms,
        a.next_leader_check_ms,
        a.asked_voter,
        f.rng,
    ):
        walk(part, out, seen)
    return process.name, blake2b(repr(out).encode(), digest_size=12).hexdigest()


def walk(x, out, seen):
    if isinstance(x, PLAIN):
        out.append(x)
    elif isinstance(x, float):
        out.append(round(x, 3))
    elif isinstance(x, Message):
        out.append(x.SerializeToString(deterministic=True))
    elif isinstance(x, Random):
        out.append(hash(x.getstate()))
    elif id(x) in seen:
        out.append("again")
    elif isinstance(x, dict):
        seen.add(id(x))
        out.append(len(x))
        for key, value in x.items():
            walk(key, out, seen)
            walk(value, out, seen)
    elif isinstance(x, (set, frozenset)):
        out.append(sorted(map(repr, x)))
    elif isinstance(x, (list, tuple)) or hasattr(x, "popleft"):
        out.append(len(x))
        for value in x:
            walk(value, out, seen)
    elif callable(x):
        out.append("call")
    else:
        seen.add(id(x))
        out.append(type(x).__name__)
        names = list(getattr(x, "__dict__", ())) + [
            n for c in type(x).__mro__ for n in getattr(c, "__slots__", ())
        ]
        for name in names:
            if name not in SKIP:
                walk(getattr(x, name, None), out, seen)
