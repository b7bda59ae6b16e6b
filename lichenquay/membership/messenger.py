"""Outgoing messages: the outbox, the selection of receivers, and the rows that a message must carry."""

from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import Member
from lichenquay.membership.message_format import row_of

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

MIN_JITTER = 0.9
MAX_JITTER = 1.1
SMALL_LIST_FACTOR = 4  # A list of up to this many times the sample size is copied and sampled from.
DRAWS_PER_NAME = 8


class Messenger:
    """The outbox of one failure detector; each message carries gossip and the rows its receiver needs."""

    def __init__(self, detector: "FailureDetector"):
        """Creates an empty outbox."""
        self.detector = detector
        self.table = detector.table
        self.rng = detector.rng
        self.outbox: list[tuple[str, pb.Message]] = []

    def jitter(self, delay_ms: float) -> float:
        """Returns a delay changed at random by up to a tenth."""
        return delay_ms * self.rng.uniform(MIN_JITTER, MAX_JITTER)

    def sample_live(self, count: int, exclude: Collection[str] = ()) -> list[str]:
        """Returns up to `count` random live members, never this one."""
        own_name = self.detector.name
        live = self.table.live_names()
        if len(live) <= SMALL_LIST_FACTOR * (count + len(exclude) + 1):
            names = [name for name in live if name != own_name and name not in exclude]
            return self.rng.sample(names, min(count, len(names)))
        # Drawing single names is cheaper than copying a long list.
        found = {}
        for _ in range(DRAWS_PER_NAME * count):
            name = live[int(self.rng.random() * len(live))]
            if name != own_name and name not in exclude:
                found[name] = None
                if len(found) == count:
                    break
        return list(found)

    def row(self, member: Member, with_suspicion: bool = True) -> pb.Row:
        """Returns a member's row, without accusers and time of silence unless `with_suspicion`."""
        row = row_of(member, self.detector.now_ms - member.last_response_ms)
        if not with_suspicion:
            del row.by[:]
            row.ClearField("silent_ms")
        return row

    def send(
        self,
        receiver: str,
        message: pb.Message,
        required: Sequence[Member] = (),
        with_gossip: bool = True,
    ) -> None:
        """Queues a message with the rows of the `required` members and, by default, gossip."""
        self.detector.gossip.piggyback(message, required, with_gossip)
        self.outbox.append((receiver, message))

    def send_with_status(self, receiver: str, message: pb.Message, subject: str | None = None) -> None:
        """Queues a message that also reports the receiver's own state to it unless that is alive.

        A message about a third member (`subject`) carries that member's row as well.
        """
        members = [self.table.get(receiver), self.table.get(subject) if subject else None]
        required = [
            member
            for member in members
            if member and (member.state is not MemberState.ALIVE or member.name == subject)
        ]
        self.send(receiver, message, required)
