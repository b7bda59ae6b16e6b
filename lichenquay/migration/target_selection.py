"""Selection of the target of a session, the order of handovers, and which gateway may leave now.

These are pure functions of what the gateways know of each other. That may be outdated, but no result can
break an invariant; a wrong one costs a rejected offer. Eligible replica groups are ranked:

1. those in the zone of the engine that the session is pinned to, because each of its queries goes there,
2. new gateways, which stay longer, so that the session migrates less often,
3. by weighted rendezvous hashing, with the free bytes of each as its weight.

Selecting the least loaded would be worse: free bytes are known late, so all leaving gateways would select the
same target.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from hashlib import blake2b
from math import log
from typing import NamedTuple

from lichenquay.migration.session import Session

HASH_BYTES = 8


class LeavingPhase(Enum):
    """Whether a gateway stays, has announced to leave, or leaves."""

    STAYING = ""
    ANNOUNCED = "wants"
    LEAVING = "leaves"


class GatewayStatus(NamedTuple):
    """A gateway as it is known here. `is_new`: it was started by the current rolling replacement."""

    name: str
    free_bytes: int
    is_alive: bool = True
    phase: LeavingPhase = LeavingPhase.STAYING
    is_new: bool = False
    is_ready: bool = True
    zone: str = ""
    weight: float = 1.0


def rendezvous_score(session_id: str, name: str, weight: float) -> float:
    """Returns the score of a gateway in weighted rendezvous hashing.

    The probability of the highest score is in proportion to the weight.
    """
    digest = blake2b(f"{session_id}\0{name}".encode(), digest_size=HASH_BYTES).digest()
    draw = int.from_bytes(digest, "little")
    return -weight / log((draw + 1) / (2 ** (8 * HASH_BYTES) + 2))


def is_eligible(member: GatewayStatus, size_bytes: int) -> bool:
    """Returns whether a session of this size may be offered to a gateway."""
    return (
        member.is_alive
        and member.phase is LeavingPhase.STAYING
        and member.is_ready
        and member.free_bytes >= size_bytes
        and member.weight > 0
    )


def select_target(
    session_id: str,
    size_bytes: int,
    zone: str,
    members: Iterable[GatewayStatus],
    excluded: Collection[str] = (),
) -> str | None:
    """Returns the name of the replica group to offer a session to; None if none is eligible now."""
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
    """Returns idle sessions first, then those with open read-only queries, then those with mutating ones.

    Within each class the order stays as given.
    """
    return sorted(sessions, key=lambda session: (session.has_open_mutation, bool(session.open_queries)))


def may_start_leaving(name: str, members: Collection[GatewayStatus], max_leaving_share: float) -> bool:
    """Returns whether a gateway that has announced to leave may start to. `members`: including this one.

    Gateways that already leave continue; of those that announced it, the first by name go first. Gateways may
    differ in what they know of each other; then more leave at a time, which is safe.
    """
    alive = [member for member in members if member.is_alive]
    others = [member for member in alive if member.name != name]
    max_leaving = max(1, int(max_leaving_share * len(alive)))
    leaving = sum(1 for member in others if member.phase is LeavingPhase.LEAVING)
    ahead = sum(1 for member in alive if member.phase is LeavingPhase.ANNOUNCED and member.name < name)
    is_any_staying = any(member.phase is LeavingPhase.STAYING and member.is_ready for member in others)
    return is_any_staying and leaving + ahead < max_leaving
