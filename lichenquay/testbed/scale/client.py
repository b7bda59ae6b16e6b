"""The client that proposes changes in a scale run, and keeps what became of each. No I/O.

A proposal is asked again, with the same request, of one publisher after the other until one says ACCEPTED or
REFUSED; some may be under way at once. Times are milliseconds of the clock that the fronts' records use.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lichenquay.distribution import distribution_pb2 as pb

RETRY_MS = 400.0
REDIRECT_MS = 20.0  # Until the publisher that another one named is asked.
MOST_UNDER_WAY = 32
INF = float("inf")


@dataclass
class Proposal:
    """One change, from its first sending to its outcome."""

    request: int
    entries: list
    proposed_ms: float = 0.0
    asked_ms: float = -INF
    accepted_ms: float | None = None
    version: int = 0
    refused: str = ""
    tries: int = 0

    @property
    def is_over(self) -> bool:
        """Whether its outcome is known."""
        return self.accepted_ms is not None or bool(self.refused)


class Client:
    """`on_message`, `tick`, `due_ms` and `outbox` as every part; `propose` and `set_rate` are the run's."""

    def __init__(self, publishers: list[str], rng: random.Random, make_entries: Callable):
        """`make_entries(number, rng)` makes the entries of the changes of a steady rate."""
        self.publishers, self.rng, self.make_entries = publishers, rng, make_entries
        self.leader = publishers[0]
        self.proposals: list[Proposal] = []
        self.outbox = []
        self._waiting: deque[Proposal] = deque()
        self._under_way: dict[int, Proposal] = {}
        self._per_s, self._next_ms = 0.0, INF

    def propose(self, entries) -> Proposal:
        """Puts a change behind those that wait; it goes out at the next tick."""
        proposal = Proposal(self.rng.getrandbits(63) | 1, entries)
        self.proposals.append(proposal)
        self._waiting.append(proposal)
        return proposal

    def set_rate(self, now_ms: float, per_s: float):
        """From now on so many changes a second, the first after half of the time between two; 0: none."""
        self._per_s = per_s
        self._next_ms = now_ms + 500 / per_s if per_s else INF

    @property
    def is_idle(self) -> bool:
        """Whether the outcome of every change is known."""
        return not self._waiting and not self._under_way

    def accepted(self) -> list[Proposal]:
        """All accepted changes, by version."""
        made = [proposal for proposal in self.proposals if proposal.accepted_ms is not None]
        return sorted(made, key=lambda proposal: proposal.version)

    def newest(self) -> int:
        """The highest accepted version."""
        return max((p.version for p in self.proposals if p.accepted_ms is not None), default=0)

    @property
    def due_ms(self) -> float:
        """When `tick` is wanted."""
        if self._waiting and len(self._under_way) < MOST_UNDER_WAY:
            return -INF
        asked_ms = min((proposal.asked_ms for proposal in self._under_way.values()), default=INF)
        return min(self._next_ms, asked_ms + RETRY_MS)

    def tick(self, now_ms: float):
        """Makes the change that is due, and sends what is due."""
        if now_ms >= self._next_ms:
            self._next_ms += 1000 / self._per_s
            self.propose(self.make_entries(len(self.proposals), self.rng))
        while self._waiting and len(self._under_way) < MOST_UNDER_WAY:
            proposal = self._waiting.popleft()
            proposal.proposed_ms = now_ms
            self._under_way[proposal.request] = proposal
        due = [one for one in self._under_way.values() if one.asked_ms + RETRY_MS <= now_ms]
        if any(proposal.tries for proposal in due):
            self._try_another()
        for proposal in due:
            proposal.asked_ms = now_ms
            proposal.tries += 1
            self._send(proposal)

    def on_message(self, now_ms: float, sender, message):
        """A publisher's answer."""
        kind = message.WhichOneof("kind")
        if kind == "proposed":
            self._take_outcome(now_ms, sender[0], message.proposed)
        elif kind == "not_leader":
            self._take_leader(now_ms, message.not_leader)

    def _try_another(self):
        others = [name for name in self.publishers if name != self.leader]
        self.leader = self.rng.choice(others or self.publishers)

    def _send(self, proposal):
        propose = pb.Propose(request=proposal.request, entries=proposal.entries)
        self.outbox.append((self.leader, pb.Message(propose=propose)))

    def _take_outcome(self, now_ms, sender, proposed):
        proposal = self._under_way.get(proposed.request)
        if proposal is None or proposed.outcome == pb.Proposed.UNKNOWN:
            return
        self.leader = sender
        if proposed.outcome == pb.Proposed.ACCEPTED:
            proposal.accepted_ms, proposal.version = now_ms, proposed.version
        else:
            proposal.refused = proposed.reason or "no reason given"
        del self._under_way[proposed.request]

    def _take_leader(self, now_ms, not_leader):
        if not_leader.leader not in self.publishers or not_leader.leader == self.leader:
            return
        self.leader = not_leader.leader
        for proposal in self._under_way.values():
            # Risk: two publishers that name each other are asked as fast as they answer.
            proposal.asked_ms = min(proposal.asked_ms, now_ms - RETRY_MS + REDIRECT_MS)
            proposal.tries = 0
