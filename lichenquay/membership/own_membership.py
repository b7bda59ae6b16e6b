"""This member's own state: refutation, being declared faulty, rejoining, and the end of an incarnation."""

from typing import TYPE_CHECKING

from lichenquay.membership.member_state import MemberRecord, MemberState
from lichenquay.membership.message_format import MAX_REFUTATION

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
MAX_REJOIN_DELAY_FACTOR = 64
REJOIN_WINDOW_MS = 600_000
MAX_RECORDED_REJOINS = 16
PROBES_WHEN_FAULTY = 8


class OwnMembership:
    """This member's own state, and its reactions to claims about it."""

    def __init__(self, detector: "FailureDetector"):
        """Starts as a member that was never faulty."""
        self.detector = detector
        self._faulty_since_ms = -INF
        self._rejoin_not_before_ms = -INF
        self._rejoin_times_ms: list[float] = []

    def on_claim(self, record: MemberRecord) -> None:
        """Reacts to a claim about this member: refutes a suspicion, accepts being faulty, or ends."""
        detector, own = self.detector, self.detector.own
        if record.incarnation < detector.incarnation or detector.is_leaving:
            return
        refutations_exhausted = record.refutation >= MAX_REFUTATION - 1
        if record.incarnation > detector.incarnation or record.state.is_final or refutations_exhausted:
            self._end(record.incarnation)
        elif record.precedence > own.precedence:
            self._on_newer_claim(record)

    def _on_newer_claim(self, record: MemberRecord) -> None:
        detector = self.detector
        if MemberState.FAULTY in (record.state, detector.own.state):
            self.declare_faulty(record.refutation)
        elif record.state is MemberState.SUSPECT:
            detector.counts["refuted"] += 1
            detector.health.worsen()
            self._set_state(record.refutation + 1, MemberState.ALIVE)
        else:
            self._set_state(record.refutation, MemberState.ALIVE)

    def _set_state(self, refutation: int, state: MemberState) -> None:
        detector = self.detector
        record = MemberRecord(detector.name, detector.incarnation, refutation, state)
        detector.table.apply(detector.now_ms, record)
        detector.gossip.add_update(detector.name)

    def declare_faulty(self, refutation: int) -> None:
        """Accepts the group's claim that this member is faulty, or makes it itself when no member answers.

        The first rejoin is immediate. Each further one within ten minutes waits twice as long, so that a
        member on a persistently bad link does not change every view over and over.
        """
        detector = self.detector
        if detector.own.state is not MemberState.FAULTY:
            now_ms = detector.now_ms
            self._faulty_since_ms = now_ms
            recent = [at_ms for at_ms in self._rejoin_times_ms if at_ms > now_ms - REJOIN_WINDOW_MS]
            self._rejoin_times_ms = recent[-MAX_RECORDED_REJOINS:]
            self._rejoin_not_before_ms = now_ms + detector.messenger.jitter(self._rejoin_delay_ms())
            detector.probe_random_members(PROBES_WHEN_FAULTY)
        self._set_state(refutation, MemberState.FAULTY)

    def _rejoin_delay_ms(self) -> float:
        if not self._rejoin_times_ms:
            return 0
        factor = min(MAX_REJOIN_DELAY_FACTOR, 2 ** (len(self._rejoin_times_ms) - 1))
        return factor * self.detector.settings.rejoin_delay_ms

    @property
    def rejoin_due_ms(self) -> float:
        """When this member rejoins; infinite unless it is faulty and a member has answered it since."""
        detector = self.detector
        is_faulty = detector.own.state is MemberState.FAULTY
        # A member that receives messages, but whose own messages are lost, must not consider itself alive
        # while all others consider it faulty, so it waits for an ack.
        if is_faulty and detector.health.last_ack_ms > self._faulty_since_ms:
            return self._rejoin_not_before_ms
        return INF

    def rejoin_if_due(self) -> None:
        """Becomes alive again if the rejoin is due."""
        detector = self.detector
        if detector.now_ms >= self.rejoin_due_ms:
            self._rejoin_times_ms.append(detector.now_ms)
            self._set_state(detector.own.refutation + 1, MemberState.ALIVE)

    def _end(self, incarnation: int) -> None:
        """Ends this incarnation, because it was removed or replaced by `incarnation`."""
        detector = self.detector
        if incarnation > detector.incarnation:
            record = MemberRecord(detector.name, incarnation, 0, MemberState.ALIVE)
        else:
            record = MemberRecord(detector.name, incarnation, detector.own.refutation, MemberState.REMOVED)
        detector.table.apply(detector.now_ms, record)
        detector.end_reason = MemberState.REMOVED
        detector.ended_incarnation = incarnation
