"""Computes each role's cost in processor time, memory, bytes and messages from two readings of the
counters.
"""

from dataclasses import dataclass
from enum import StrEnum

from lichenquay.testbed.scale.scenario import Shape
from lichenquay.testbed.scale.world import ProcessUsage

COST_DIGITS = {"cpu_share": 6, "kb": 1, "bytes_per_s": 1, "messages_per_s": 3}  # Decimal digits of each cost.


class Role(StrEnum):
    """Names the kinds of process. A publisher leads; a voter is a publisher that does not."""

    GATEWAY = "front"
    RELAY = "relay"
    PUBLISHER = "publisher"
    VOTER = "voter"


@dataclass(frozen=True)
class RoleCost:
    """Holds the cost of all members of a role together. `cpu_share`: of one core; bytes and messages: sent
    and received, a second.
    """

    members: int
    cpu_share: float
    kb: float
    bytes_per_s: float
    messages_per_s: float

    def of_one(self) -> "RoleCost":
        """Returns the mean cost of one member."""
        members = max(1, self.members)
        per_member = {
            name: round(getattr(self, name) / members, digits) for name, digits in COST_DIGITS.items()
        }
        return RoleCost(members=self.members, **per_member)


@dataclass(frozen=True)
class Reading:
    """Holds the counters of every process at one time, in seconds of a monotonic clock."""

    at_s: float
    usage: list[ProcessUsage]

    def by_name(self) -> dict[str, ProcessUsage]:
        """Returns the readings by the process's name."""
        return {process.name: process for process in self.usage}


def role_of(process: ProcessUsage, shape: Shape) -> Role:
    """Returns the role that a process has now."""
    if process.name.startswith("hollow"):
        return Role.GATEWAY
    if process.name in shape.publisher_names():
        return Role.PUBLISHER if process.counts.leads else Role.VOTER
    return Role.RELAY


def costs_between(before: Reading, after: Reading, baseline: Reading, shape: Shape) -> dict[Role, RoleCost]:
    """Returns the cost of each role between two readings.

    `baseline`: a reading before any gateway ran; the memory of a gateway host in it is the interpreter's
    own, and is not counted to its gateways.
    """
    earlier, at_baseline = before.by_name(), baseline.by_name()
    seconds = after.at_s - before.at_s
    costs = {}
    for role in Role:
        pairs = [
            (earlier[process.name], process)
            for process in after.usage
            if process.name in earlier and role_of(process, shape) is role
        ]
        if not pairs:
            continue
        members = (
            sum(later_usage.counts.fronts for _, later_usage in pairs) if role is Role.GATEWAY else len(pairs)
        )
        kb = sum(later_usage.usage.kb for _, later_usage in pairs)
        if role is Role.GATEWAY:
            kb -= sum(
                at_baseline[later_usage.name].usage.kb
                for _, later_usage in pairs
                if later_usage.name in at_baseline
            )
        costs[role] = RoleCost(
            members=members,
            cpu_share=sum(
                later_usage.usage.cpu_s - earlier_usage.usage.cpu_s for earlier_usage, later_usage in pairs
            )
            / seconds,
            kb=kb,
            bytes_per_s=sum(
                bytes_of(later_usage) - bytes_of(earlier_usage) for earlier_usage, later_usage in pairs
            )
            / seconds,
            messages_per_s=sum(
                messages_of(later_usage) - messages_of(earlier_usage) for earlier_usage, later_usage in pairs
            )
            / seconds,
        )
    return costs


def bytes_of(process: ProcessUsage) -> int:
    """Returns the bytes of datagrams sent and received."""
    return process.counts.sent_bytes + process.counts.heard_bytes


def messages_of(process: ProcessUsage) -> int:
    """Returns the datagrams sent and received."""
    return process.counts.sent + process.counts.heard
