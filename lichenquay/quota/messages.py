"""Types that the gateway's side and the leader's side of the quota protocol share."""

from typing import NamedTuple

from google.protobuf.message import Message


class OutgoingQuotaMessage(NamedTuple):
    """A message and the name of the gateway that it is addressed to."""

    to: str
    message: Message


class LeaderAddress(NamedTuple):
    """The gateway that leads the ledger, and the lease generation of the group in which it does."""

    name: str
    lease_generation: int
