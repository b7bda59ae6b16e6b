"""Suspicion: from a failed probe to declaring a member faulty and later removing it."""

from math import log, log10
from typing import TYPE_CHECKING

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import Member
from lichenquay.membership.message_format import MAX_ACCUSERS
from lichenquay.membership.probing import Probe

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
MAX_CONFIRMATIONS = 3  # More independent accusers do not shorten a suspicion further.
MIN_SUSPICION_SHARE = 0.76  # Least duration, from the first accusation, as a share of the timeout.
UNCONFIRMED_TIMEOUTS = 3  # Suspicion timeouts until a suspect with a single accuser is faulty.
EXPECTED_CONFIRMING_PROBES = 16  # Members expected to probe a new suspect immediately, and each period.
REMOVAL_RETRY_PERIODS = 10


class Suspicion:
    """Schedules and applies the declarations that suspects are faulty and faulty members removed."""

    def __init__(self, detector: "FailureDetector"):
        """Starts with nothing to evaluate."""
        self.detector = detector
        self.table = detector.table
        self.health = detector.health
        self.next_evaluation_ms = INF

    def timeout_ms(self) -> float:
        """Returns the suspicion timeout, which grows with the logarithm of the group size above ten."""
        live_count = max(1, len(self.table.live_names()))
        return self.detector.settings.suspicion_timeout_ms * max(1, log10(live_count))

    def may_accuse(self) -> bool:
        """Returns whether this process's own state allows it to accuse others.

        In a group of two, each member is the only observer of the other.
        """
        if self.detector.own.state is not MemberState.ALIVE:
            return False
        if self.detector.other_live_count() < 2:
            return True
        silence_ms = self.health.silence_ms(self.detector.now_ms)
        return self.health.has_ack_since_pause and silence_ms < self.timeout_ms()

    def sample_confirming_probe(self) -> bool:
        """Draws at random whether this member is one of those that probe a suspect immediately."""
        member_count = self.detector.other_live_count() + 1
        return self.detector.rng.random() * member_count < EXPECTED_CONFIRMING_PROBES

    def on_probe_failed(self, probe: Probe) -> None:
        """Accuses the target of a probe that received no answer."""
        detector = self.detector
        member = self.table.get(probe.target)
        member.missed_probes += 1
        if probe.helpers and not probe.negative_acks:
            self.health.worsen()
        if not member.state.is_live:
            return
        nobody_answered = detector.other_live_count() >= 2 and self.health.last_ack_ms < probe.sent_ms
        if not self.may_accuse() or nobody_answered:
            detector.counts["unconfirmed_probe_failure"] += 1
            return
        if member.state is MemberState.ALIVE:
            self.table.apply(detector.now_ms, member.with_state(MemberState.SUSPECT))
        if detector.name not in member.accusers and len(member.accusers) < MAX_ACCUSERS:
            member.accusers[detector.name] = None
            detector.gossip.add_update(member.name)
        self.schedule(self._deadline_ms(member))

    def on_accusation(self, member: Member, row: pb.Row, is_first: bool) -> None:
        """Counts another member's accusation, and probes the suspect from here too.

        A probe that reaches the suspect informs it; one that does not makes this member a further accuser.
        """
        detector = self.detector
        free_places = MAX_ACCUSERS - len(member.accusers)
        new_accusers = [name for name in row.by if name not in member.accusers][:free_places]
        member.accusers.update(dict.fromkeys(new_accusers))
        member.last_response_ms = max(member.last_response_ms, detector.now_ms - row.silent_ms)
        if new_accusers:
            detector.gossip.add_update(member.name)
            self.schedule(self._deadline_ms(member))
        if is_first and not detector.is_leaving and self.sample_confirming_probe():
            detector.prober.probe(member.name, detector.settings.probe_period_ms)

    def schedule_for(self, member: Member) -> None:
        """Schedules the evaluation of a member that became suspect or faulty."""
        if member.state is MemberState.SUSPECT:
            self.schedule(self._deadline_ms(member))
        else:
            self.schedule(member.state_since_ms + self.detector.removal_timeout_ms)

    def schedule(self, at_ms: float) -> None:
        """Schedules an evaluation at `at_ms` unless an earlier one is scheduled."""
        self.next_evaluation_ms = min(self.next_evaluation_ms, at_ms)

    def _deadline_ms(self, member: Member) -> float:
        """Returns when a suspect becomes faulty.

        The more accusers, the earlier, but not before one timeout after the suspect's last known response to
        any member.
        """
        timeout_ms = self.timeout_ms()
        last_evidence_ms = max(member.last_response_ms, self.health.observing_since_ms)
        earliest_ms = max(
            member.state_since_ms + MIN_SUSPICION_SHARE * timeout_ms, last_evidence_ms + timeout_ms
        )
        latest_ms = max(earliest_ms, member.state_since_ms + UNCONFIRMED_TIMEOUTS * timeout_ms)
        deadline_ms = latest_ms - (latest_ms - earliest_ms) * self._confirmed_share(member)
        return max(deadline_ms, member.declare_not_before_ms)

    def _confirmed_share(self, member: Member) -> float:
        """Returns how far a suspicion is confirmed: 0 with one accuser, 1 with all that are expected."""
        expected = min(MAX_CONFIRMATIONS, self.detector.other_live_count())
        if expected < 2:
            return 1
        return min(1, log(max(1, len(member.accusers))) / log(expected))

    def evaluate(self) -> None:
        """Applies all declarations that are due, and schedules the next evaluation."""
        self.next_evaluation_ms = INF
        for member in list(self.table.suspects.values()):
            self._evaluate_suspect(member)
        live_count, faulty_count = len(self.table.live_names()), len(self.table.faulty)
        has_majority = 2 * live_count > live_count + faulty_count
        for member in list(self.table.faulty.values()):
            if member.name != self.detector.name:
                self._evaluate_faulty(member, has_majority)

    def _evaluate_suspect(self, member: Member) -> None:
        now_ms = self.detector.now_ms
        if self._deadline_ms(member) <= now_ms:
            if self.may_accuse():
                self._declare(member, MemberState.FAULTY)
                return
            member.declare_not_before_ms = now_ms + self.detector.settings.probe_period_ms
        self.schedule(self._deadline_ms(member))

    def _evaluate_faulty(self, member: Member, has_majority: bool) -> None:
        now_ms = self.detector.now_ms
        removal_ms = member.state_since_ms + self.detector.removal_timeout_ms
        due_ms = max(removal_ms, member.declare_not_before_ms)
        if due_ms <= now_ms:
            if has_majority and self.may_accuse():
                self._declare(member, MemberState.REMOVED)
                return
            due_ms = now_ms + REMOVAL_RETRY_PERIODS * self.detector.settings.probe_period_ms
            member.declare_not_before_ms = due_ms
        self.schedule(due_ms)

    def _declare(self, member: Member, state: MemberState) -> None:
        self.table.apply(self.detector.now_ms, member.with_state(state))
        self.detector.gossip.add_update(member.name)

    def on_pause(self, late_ms: float) -> None:
        """Restarts every suspicion, and leaves the duration of a pause out of the removal timeouts."""
        for member in self.table.suspects.values():
            member.state_since_ms = self.detector.now_ms
        for member in self.table.faulty.values():
            member.state_since_ms += late_ms
