"""Who takes a session, in which order sessions go, and who may leave now. Pure; what it is told is advice
only: no answer of these can break a rule, a wrong one costs a refused offer.

Replica groups are ranked, those that are alive, stay, are ready and have room:
1. in the zone of the engine that the session is pinned to (each of its queries goes there),
2. new machines (that came with the swap: whoever stays longer is moved less often),
3. by rendezvous hashing with what room each has left as its weight.

Against the least loaded first: rooms are told late, so that all who leave would pick the same one, and fill
it."""

from hashlib import blake2b
from math import log
from typing import NamedTuple

WANTS, LEAVES = "wants", "leaves"


class Member(NamedTuple):
    """A front as it is known here. `room`: bytes; `word`: '', WANTS or LEAVES."""

    name: str
    room: int
    alive: bool = True
    word: str = ""
    new: bool = False
    ready: bool = True
    zone: str = ""
    weight: float = 1.0


def score(id, name, weight):
    """The highest of a session's scores is drawn with a chance in proportion to weight (weighted
    rendezvous)."""
    draw = int.from_bytes(blake2b(f"{id}\0{name}".encode(), digest_size=8).digest(), "little")
    return -weight / log((draw + 1) / (2**64 + 2))


def fit(member, size):
    """Whether a session of `size` bytes may be offered to it."""
    return member.alive and not member.word and member.ready and member.room >= size and member.weight > 0


def taker(id, size, zone, members, without=()):
    """Name of the replica group to offer it to; None: nobody now."""
    fitting = [m for m in members if fit(m, size) and m.name not in without]
    best = max(
        fitting,
        default=None,
        key=lambda m: (
            bool(zone) and m.zone == zone,
            m.new,
            score(id, m.name, m.weight * (m.room + 1)),
            m.name,
        ),
    )
    return best and best.name


def in_order(sessions):
    """Idle ones first, then those with read-only queries out, those with mutating ones last; each as given,
    the longest unused first."""
    return sorted(sessions, key=lambda s: (s.writing, bool(s.open)))


def may_leave(me, members, share):
    """Whether `me`, which has wanted to for long enough to be heard, may begin. `members`: with `me`. Those
    that leave go on; of those that want to, the first names go first. Views may differ: then more leave at a
    time, safely."""
    alive = [m for m in members if m.alive]
    most = max(1, int(share * len(alive)))
    leave = sum(1 for m in alive if m.word == LEAVES and m.name != me)
    before = sum(1 for m in alive if m.word == WANTS and m.name < me)
    stays = any(not m.word and m.ready for m in alive if m.name != me)
    return stays and leave + before < most
