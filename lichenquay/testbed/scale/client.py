"""The client that proposes changes in a scale run and records the outcome of each. No I/O.

A proposal is sent again, with the same request id, to one publisher after the other until one answers
ACCEPTED or REFUSED; several may be in flight at once. Times are milliseconds of the clock that the gateways'
records use.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lichenquay.distribution import distribution_pb2 as pb

RETRY_MS = 400.0
REDIRECT_MS = 20.0  # Delay before a retry at the publisher that another one named.
MAX_IN_FLIGHT = 32
INF = float("inf")


@dataclass
class TimedProposal:
    """Holds one change from its first sending to its outcome."""

    request_id: int
    entries: list
    proposed_ms: float = 0.0
    sent_ms: float = -INF
    accepted_ms: float | None = None
    version: int = 0
    rejection_reason: str = ""
    attempts: int = 0

    @property
    def is_decided(self) -> bool:
        """Whether its outcome is known."""
        return self.accepted_ms is not None or bool(self.rejection_reason)


class ProposerClient:
    """Proposes changes. `on_message`, `tick`, `due_ms` and `outbox` are those of every decision module;
    `propose` and `set_rate` are called by the run.
    """

    def __init__(self, publishers: list[str], rng: random.Random, make_entries: Callable):
        """`make_entries(number, rng)` returns the entries of a change of the steady rate."""
        self.publishers, self.rng, self.make_entries = publishers, rng, make_entries
        self.leader = publishers[0]
        self.proposals: list[TimedProposal] = []
        self.outbox = []
        self._waiting: deque[TimedProposal] = deque()
        self._in_flight: dict[int, TimedProposal] = {}
        self._changes_per_s, self._next_ms = 0.0, INF

    def propose(self, entries) -> TimedProposal:
        """Queues a change, which is sent at the next tick."""
        proposal = TimedProposal(self.rng.getrandbits(63) | 1, entries)
        self.proposals.append(proposal)
        self._waiting.append(proposal)
        return proposal

    def set_rate(self, now_ms: float, changes_per_s: float):
        """Sets the rate of changes a second, the first after half an interval; 0 stops them."""
        self._changes_per_s = changes_per_s
        self._next_ms = now_ms + 500 / changes_per_s if changes_per_s else INF

    @property
    def is_idle(self) -> bool:
        """Whether the outcome of every change is known."""
        return not self._waiting and not self._in_flight

    def accepted(self) -> list[TimedProposal]:
        """Returns all accepted changes in order of version."""
        accepted_proposals = [proposal for proposal in self.proposals if proposal.accepted_ms is not None]
        return sorted(accepted_proposals, key=lambda proposal: proposal.version)

    def newest_version(self) -> int:
        """Returns the highest accepted version."""
        return max((p.version for p in self.proposals if p.accepted_ms is not None), default=0)

    @property
    def due_ms(self) -> float:
        """When `tick` is due next."""
        if self._waiting and len(self._in_flight) < MAX_IN_FLIGHT:
            return -INF
        sent_ms = min((proposal.sent_ms for proposal in self._in_flight.values()), default=INF)
        return min(self._next_ms, sent_ms + RETRY_MS)

    def tick(self, now_ms: float):
        """Creates the change that is due, and sends or retries proposals that are due."""
        if now_ms >= self._next_ms:
            self._next_ms += 1000 / self._changes_per_s
            self.propose(self.make_entries(len(self.proposals), self.rng))
        while self._waiting and len(self._in_flight) < MAX_IN_FLIGHT:
            proposal = self._waiting.popleft()
            proposal.proposed_ms = now_ms
            self._in_flight[proposal.request_id] = proposal
        due = [proposal for proposal in self._in_flight.values() if proposal.sent_ms + RETRY_MS <= now_ms]
        if any(proposal.attempts for proposal in due):
            self._select_another()
        for proposal in due:
            proposal.sent_ms = now_ms
            proposal.attempts += 1
            self._send(proposal)

    def on_message(self, now_ms: float, sender, message):
        """Handles a publisher's answer."""
        kind = message.WhichOneof("kind")
        if kind == "proposed":
            self._take_outcome(now_ms, sender[0], message.proposed)
        elif kind == "not_leader":
            self._take_leader(now_ms, message.not_leader)

    def _select_another(self):
        others = [name for name in self.publishers if name != self.leader]
        self.leader = self.rng.choice(others or self.publishers)

    def _send(self, proposal):
        propose = pb.Propose(request=proposal.request_id, entries=proposal.entries)
        self.outbox.append((self.leader, pb.Message(propose=propose)))

    def _take_outcome(self, now_ms, sender, proposed):
        proposal = self._in_flight.get(proposed.request)
        if proposal is None or proposed.outcome == pb.Proposed.UNKNOWN:
            return
        self.leader = sender
        if proposed.outcome == pb.Proposed.ACCEPTED:
            proposal.accepted_ms, proposal.version = now_ms, proposed.version
        else:
            proposal.rejection_reason = proposed.reason or "no reason given"
        del self._in_flight[proposed.request]

    def _take_leader(self, now_ms, not_leader):
        if not_leader.leader not in self.publishers or not_leader.leader == self.leader:
            return
        self.leader = not_leader.leader
        for proposal in self._in_flight.values():
            # The delay bounds the retries between two publishers that name each other as the leader.
            proposal.sent_ms = min(proposal.sent_ms, now_ms - RETRY_MS + REDIRECT_MS)
            proposal.attempts = 0
