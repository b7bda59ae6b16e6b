"""Which replica group receives a session, in which order sessions go, and which gateway may leave now.

Pure functions of what the gateways know of each other, which may be outdated: no result of these can break a
rule; a wrong one costs a rejected offer. Eligible replica groups are ranked:

1. in the zone of the engine that the session is pinned to, as each of its queries goes there,
2. new gateways, which stay for longer, so that the session moves less often,
3. by weighted rendezvous hashing, with the free bytes of each as its weight.

The least loaded first would be worse: free bytes are known late, so that all who leave would pick the same
one.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from hashlib import blake2b
from math import log
from typing import NamedTuple

from lichenquay.migration.session import Session

HASH_BYTES = 8


class LeavingPhase(Enum):
    """Whether a gateway is about to leave."""

    STAYING = ""
    ANNOUNCED = "wants"
    LEAVING = "leaves"


class Member(NamedTuple):
    """A gateway as it is known here. `is_new`: it came with the present rolling replacement."""

    name: str
    free_bytes: int
    is_alive: bool = True
    phase: LeavingPhase = LeavingPhase.STAYING
    is_new: bool = False
    is_ready: bool = True
    zone: str = ""
    weight: float = 1.0


def rendezvous_score(session_id: str, name: str, weight: float) -> float:
    """Weighted rendezvous hashing: the chance of the highest score is in proportion to the weight."""
    digest = blake2b(f"{session_id}\0{name}".encode(), digest_size=HASH_BYTES).digest()
    draw = int.from_bytes(digest, "little")
    return -weight / log((draw + 1) / (2 ** (8 * HASH_BYTES) + 2))


def is_eligible(member: Member, size_bytes: int) -> bool:
    """Whether a session of this size may be offered to it."""
    return (
        member.is_alive
        and member.phase is LeavingPhase.STAYING
        and member.is_ready
        and member.free_bytes >= size_bytes
        and member.weight > 0
    )


def select_target(
    session_id: str, size_bytes: int, zone: str, members: Iterable[Member], excluded: Collection[str] = ()
) -> str | None:
    """Name of the replica group to offer a session to; None if there is none now."""
    best = max(
        (member for member in members if is_eligible(member, size_bytes) and member.name not in excluded),
        default=None,
        key=lambda member: (
            bool(zone) and member.zone == zone,
            member.is_new,
            rendezvous_score(session_id, member.name, member.weight * (member.free_bytes + 1)),
            member.name,
        ),
    )
    return best.name if best else None


def handover_order(sessions: Iterable[Session]) -> list[Session]:
    """Idle ones first, then those with read-only queries open, then those with mutating ones.

    Else as given.
    """
    return sorted(sessions, key=lambda session: (session.has_open_mutation, bool(session.open_queries)))


def may_start_leaving(name: str, members: Collection[Member], max_leaving_share: float) -> bool:
    """Whether a gateway that has announced to leave may begin. `members`: with this one.

    Those that leave go on; of those that announced it, the first names go first. Views may differ; then more
    leave at a time, safely.
    """
    alive = [member for member in members if member.is_alive]
    others = [member for member in alive if member.name != name]
    most = max(1, int(max_leaving_share * len(alive)))
    leaving = sum(1 for member in others if member.phase is LeavingPhase.LEAVING)
    ahead = sum(1 for member in alive if member.phase is LeavingPhase.ANNOUNCED and member.name < name)
    someone_stays = any(member.phase is LeavingPhase.STAYING and member.is_ready for member in others)
    return someone_stays and leaving + ahead < most
