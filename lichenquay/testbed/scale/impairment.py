"""Network impairment between processes on loopback: loss, delay, duplication, reordering and partitions.

Applied by the sender to each datagram before it is sent. Random draws come from a seed; times are
milliseconds.
"""

import random
from dataclasses import dataclass

ANY_ZONE = ""  # Matches every zone.


@dataclass(frozen=True)
class Rule:
    """Describes the impairment of datagrams from `source` to `target`, both zones, or ANY_ZONE. Probabilities
    are 0 to 1.
    """

    source: str = ANY_ZONE
    target: str = ANY_ZONE
    loss: float = 0.0
    delay_ms: float = 0.0  # The maximum; a random delay for each datagram also reorders them.
    doubled: float = 0.0
    cut: bool = False

    def matches(self, source: str, target: str) -> bool:
        """Whether the rule applies to datagrams from one zone to another."""
        return self.source in (ANY_ZONE, source) and self.target in (ANY_ZONE, target)


def partition_rules(zones: list[str], others: list[str]) -> list[Rule]:
    """Returns the rules that partition zones from others, both ways. Traffic within each side is
    unaffected.
    """
    rules = []
    for zone in zones:
        for other in others:
            rules.append(Rule(zone, other, cut=True))
            rules.append(Rule(other, zone, cut=True))
    return rules


class Impairment:
    """Decides on each datagram by the first rule that matches it."""

    def __init__(self, seed: str):
        """`seed`: of the random draws; the same seed and order of datagrams give the same decisions."""
        self.rng = random.Random(seed)
        self.rules: list[Rule] = []
        self.lost = self.doubled = 0

    def delays_for(self, source: str, target: str) -> list[float]:
        """Returns the delay in ms of each copy to be sent; empty where the datagram is lost."""
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
