"""The member table: for each name the claim with the highest precedence, and the resulting view.

Claims are totally ordered, so all processes that received the same claims hold the same table, regardless of
duplicates, delays and reordering. An entry takes about 0.5 KB. A name keeps its entry after it left or was
removed, so that an older message cannot revive it.
"""

from collections.abc import Iterable
from hashlib import blake2b

from lichenquay.membership.member_state import (
    MemberRecord,
    MemberState,
    MemberSummary,
    Precedence,
    StateChange,
    View,
    precedence,
)
from lichenquay.membership.message_format import PARTITION_COUNT

MAX_MEMBERS = 1_024
LONG_AGO_MS = float("-inf")
DIGEST_BYTES = 8


def digest_of(*values) -> int:
    """Returns a 64-bit digest of plain values."""
    return int.from_bytes(blake2b(repr(values).encode(), digest_size=DIGEST_BYTES).digest(), "big")


def partition_of(name: str) -> int:
    """Returns the partition of the table that a name belongs to."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % PARTITION_COUNT


class Member:
    """The entry of a name, and this process's own observations of it, which are not part of its state."""

    __slots__ = (
        "name",
        "partition",
        "incarnation",
        "refutation",
        "state",
        "entry_digest",
        "view_digest",
        "accusers",
        "state_since_ms",
        "last_response_ms",
        "last_direct_response_ms",
        "missed_probes",
        "declare_not_before_ms",
    )

    def __init__(self, name: str):
        """Creates an entry without a claim."""
        self.name = name
        self.partition = partition_of(name)
        self.incarnation = 0
        self.refutation = 0
        self.state: MemberState | None = None
        self.entry_digest = 0
        self.view_digest = 0
        self.reset_observations(LONG_AGO_MS)

    def reset_observations(self, now_ms: float) -> None:
        """Discards what was observed of the previous incarnation."""
        # Names of the members whose own probes failed, in the order in which this process learned of them.
        self.accusers: dict[str, None] = {}
        self.state_since_ms = now_ms
        self.last_response_ms = LONG_AGO_MS  # The last response to any member that this process knows of.
        self.last_direct_response_ms = LONG_AGO_MS
        self.missed_probes = 0  # Consecutive direct pings without an ack.
        self.declare_not_before_ms = LONG_AGO_MS

    @property
    def precedence(self) -> Precedence:
        """The precedence of the claim that is held."""
        return precedence(self.incarnation, self.refutation, self.state.number)

    def with_state(self, state: MemberState) -> MemberRecord:
        """Returns a claim that gives this incarnation another state."""
        return MemberRecord(self.name, self.incarnation, self.refutation, state)


class MemberTable:
    """All known members by name, and the changes that the host has not yet applied."""

    def __init__(self):
        """Creates an empty table."""
        self.members: dict[str, Member] = {}
        self.changes: list[StateChange] = []
        self.suspects: dict[str, Member] = {}
        self.faulty: dict[str, Member] = {}
        self.partition_digests = [0] * PARTITION_COUNT
        self._view_number = 0
        self._view_digest = 0
        self._live_names: list[str] | None = None

    def get(self, name: str) -> Member | None:
        """Returns the entry of a name, or None if it is unknown."""
        return self.members.get(name)

    @property
    def view(self) -> View:
        """The current view."""
        return View(self._view_number, self._view_digest)

    def live_names(self) -> list[str]:
        """Returns the sorted names that are alive or suspect; the same list object until that set changes."""
        if self._live_names is None:
            self._live_names = sorted(m.name for m in self.members.values() if m.state.is_live)
        return self._live_names

    def summaries(self) -> list[MemberSummary]:
        """Returns all members ever known, sorted by name."""
        return [MemberSummary(m.name, m.incarnation, m.state) for _, m in sorted(self.members.items())]

    def has_no_room_for(self, name: str) -> bool:
        """Returns whether a name is new and the table is full."""
        return name not in self.members and len(self.members) >= MAX_MEMBERS

    def apply(self, now_ms: float, record: MemberRecord) -> bool:
        """Adopts a claim if it takes precedence over the one that is held; returns whether it did."""
        member = self.members.get(record.name)
        if member is None:
            member = self.members[record.name] = Member(record.name)
        elif record.precedence <= member.precedence:
            return False
        old_state = member.state
        if old_state is None or record.incarnation > member.incarnation:
            self._begin_incarnation(now_ms, member)
            old_state = None
        member.incarnation = record.incarnation
        member.refutation = 0 if record.state.is_final else record.refutation
        member.state = record.state
        self._update_digests(member)
        self._update_state(now_ms, member, old_state)
        return True

    def _begin_incarnation(self, now_ms: float, member: Member) -> None:
        if member.state is not None and not member.state.is_final:
            self._record_change(member, member.state, MemberState.REMOVED)
        member.reset_observations(now_ms)

    def _update_digests(self, member: Member) -> None:
        number = member.state.number
        entry_digest = digest_of(member.name, member.incarnation, member.refutation, number)
        self.partition_digests[member.partition] ^= member.entry_digest ^ entry_digest
        # Alive and suspect count as the same state in a view.
        number_in_view = max(number, MemberState.SUSPECT.number)
        view_digest = digest_of(member.name, member.incarnation, number_in_view)
        self._view_digest ^= member.view_digest ^ view_digest
        member.entry_digest = entry_digest
        member.view_digest = view_digest

    def _update_state(self, now_ms: float, member: Member, old_state: MemberState | None) -> None:
        if member.state is not MemberState.SUSPECT:
            member.accusers = {}
        if old_state is not member.state:
            member.state_since_ms = now_ms
            self._update_indexes(member, old_state)
            self._record_change(member, old_state, member.state)
        elif member.state is MemberState.SUSPECT:
            # A suspicion with a higher refutation counter replaces the previous one.
            member.accusers = {}
            member.state_since_ms = now_ms

    def _update_indexes(self, member: Member, old_state: MemberState | None) -> None:
        if old_state is None or old_state.is_live != member.state.is_live:
            self._live_names = None
        for state, index in ((MemberState.SUSPECT, self.suspects), (MemberState.FAULTY, self.faulty)):
            if member.state is state:
                index[member.name] = member
            else:
                index.pop(member.name, None)

    def _record_change(self, member: Member, old_state: MemberState | None, new_state: MemberState) -> None:
        self._view_number += 1
        change = StateChange(member.name, member.incarnation, old_state, new_state, self._view_number)
        self.changes.append(change)

    def in_partitions(self, partitions: Iterable[int], after: str = "", until: str = "") -> list[Member]:
        """Returns the members of the partitions, sorted by partition and name.

        Includes only names greater than `after` and, unless `until` is empty, up to and including `until`.
        """
        wanted = set(partitions)
        found = [
            member
            for member in self.members.values()
            if member.partition in wanted and member.name > after and (not until or member.name <= until)
        ]
        return sorted(found, key=lambda member: (member.partition, member.name))
