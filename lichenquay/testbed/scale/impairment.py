"""A bad network between processes on loopback: datagrams that are lost, late, doubled, reordered or cut off.

Applied by the sender to each datagram that it is about to send. Chance comes from a seed; times are
milliseconds.
"""

import random
from dataclasses import dataclass

ANY_ZONE = ""  # A zone that matches every zone.


@dataclass(frozen=True)
class Rule:
    """What happens to datagrams from `source` to `target`, both zones, or ANY. Shares are 0 to 1."""

    source: str = ANY_ZONE
    target: str = ANY_ZONE
    loss: float = 0.0
    delay_ms: float = 0.0  # Each datagram is late by up to so much, and so they are reordered.
    doubled: float = 0.0
    cut: bool = False

    def matches(self, source: str, target: str) -> bool:
        """Whether the rule is about datagrams from one zone to another."""
        return self.source in (ANY_ZONE, source) and self.target in (ANY_ZONE, target)


def partition_rules(zones: list[str], others: list[str]) -> list[Rule]:
    """The rules that cut zones from others, both ways. Among themselves nothing changes."""
    rules = []
    for zone in zones:
        for other in others:
            rules.append(Rule(zone, other, cut=True))
            rules.append(Rule(other, zone, cut=True))
    return rules


class Impairment:
    """Decides the fate of each datagram by the first rule that matches it."""

    def __init__(self, seed: str):
        """`seed`: of its chance; one seed and one order of datagrams give one run."""
        self.rng = random.Random(seed)
        self.rules: list[Rule] = []
        self.lost = self.doubled = 0

    def delays_for(self, source: str, target: str) -> list[float]:
        """The delays in ms of each copy that is to be sent; none: the datagram is lost."""
        rule = self._matching_rule(source, target)
        if rule is None:
            return [0.0]
        if rule.cut or self.rng.random() < rule.loss:
            self.lost += 1
            return []
        copies = 1
        if self.rng.random() < rule.doubled:
            self.doubled += 1
            copies = 2
        return [self.rng.uniform(0.0, rule.delay_ms) for _ in range(copies)]

    def _matching_rule(self, source: str, target: str) -> Rule | None:
        for rule in self.rules:
            if rule.matches(source, target):
                return rule
        return None
