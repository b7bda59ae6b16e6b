"""Dissemination of updates: piggybacked on every message, and in gossip rounds while there are any.

This process sends an update at most `3 log2(members)` times. A round is sent to `FANOUT` members every fifth
of a probe period while there are updates, and not at all otherwise.
"""

from collections.abc import Sequence
from heapq import nsmallest
from math import ceil, log2
from typing import TYPE_CHECKING

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_table import Member
from lichenquay.membership.message_format import append_rows, check_size

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
FANOUT = 3
MAX_ROWS = 40  # A row takes at least 25 bytes of a message.
ROUNDS_PER_PERIOD = 5
RETRANSMISSION_FACTOR = 3


class Gossip:
    """The updates that are still to be disseminated, with the number of times each was sent."""

    def __init__(self, detector: "FailureDetector"):
        """Starts without updates."""
        self.detector = detector
        self.table = detector.table
        self.times_sent: dict[str, int] = {}
        self.next_round_ms = INF

    def add_update(self, name: str, immediately: bool = True) -> None:
        """Disseminates the entry of a name, starting immediately or with the next round."""
        self.times_sent[name] = 0
        delay_ms = 0 if immediately else self._round_interval_ms()
        self.next_round_ms = min(self.next_round_ms, self.detector.now_ms + delay_ms)

    def piggyback(self, message: pb.Message, required: Sequence[Member], with_updates: bool) -> None:
        """Adds the sender's own state, the rows of `required` and as many updates as fit.

        Raises MembershipMessageTooLargeError.
        """
        messenger, own = self.detector.messenger, self.detector.own
        message.word = own.refutation
        message.state = own.state.number
        append_rows(message, [messenger.row(member) for member in required])
        if with_updates and self.times_sent:
            included = {member.name for member in required}
            included.add(own.name)
            least_sent = nsmallest(MAX_ROWS, self.times_sent, key=self.times_sent.get)
            names = [name for name in least_sent if name not in included]
            appended = append_rows(message, [messenger.row(self.table.get(name)) for name in names])
            self._count_sent(names[:appended], 1)
        check_size(message)

    def _count_sent(self, names: Sequence[str], times: int) -> None:
        limit = RETRANSMISSION_FACTOR * ceil(log2(len(self.table.live_names()) + 2))
        for name in names:
            self.times_sent[name] += times
            if self.times_sent[name] >= limit:
                del self.times_sent[name]

    def _round_interval_ms(self) -> float:
        return self.detector.settings.probe_period_ms / ROUNDS_PER_PERIOD

    def send_round(self, now_ms: float) -> None:
        """Sends the updates to some random live members and schedules the next round."""
        messenger, own_name = self.detector.messenger, self.detector.name
        for name in messenger.sample_live(FANOUT):
            messenger.send(name, pb.Message(gossip=pb.Gossip()))
        # Every message carries this member's own state, so its transmissions are counted per round.
        if own_name in self.times_sent:
            self._count_sent([own_name], FANOUT)
        if self.times_sent:
            self.next_round_ms = now_ms + messenger.jitter(self._round_interval_ms())
        else:
            self.next_round_ms = INF
