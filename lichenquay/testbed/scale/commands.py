"""What a run tells its processes and what they answer: one JSON object a line, on standard input and
output.
"""

import json
from dataclasses import asdict, dataclass, field

from lichenquay.testbed.scale.impairment import Rule


class UnknownOrderError(ValueError):
    """A line that is no order."""


@dataclass(frozen=True)
class StartFronts:
    """Start these hollow fronts; whole numbers as in `Shape`."""

    names: list[str]


@dataclass(frozen=True)
class StopFronts:
    """End these hollow fronts without a word, as a process that dies."""

    names: list[str]


@dataclass(frozen=True)
class ReadSlowly:
    """These fronts stop reading their sockets (`on`), or read on."""

    names: list[str]
    on: bool


@dataclass(frozen=True)
class Impair:
    """From now on the network is this, for what this process sends."""

    rules: list[Rule] = field(default_factory=list)


@dataclass(frozen=True)
class FailDisk:
    """The disk refuses writes (`full`), takes `delay_ms` longer for each, or neither."""

    full: bool = False
    delay_ms: float = 0.0


@dataclass(frozen=True)
class Count:
    """Answer with `Counts`."""


@dataclass(frozen=True)
class End:
    """Write the report, and exit."""


ORDERS = {
    order.__name__: order for order in (StartFronts, StopFronts, ReadSlowly, Impair, FailDisk, Count, End)
}


@dataclass(frozen=True)
class Counts:
    """What a process has sent and received since its start, in datagrams and bytes of them."""

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    heard_bytes: int = 0
    dropped: int = 0
    fronts: int = 0  # Hollow fronts that run now.
    oldest: int = 0  # The lowest version in force among them; of a relay, its own.
    leads: bool = False


def line_of(order) -> str:
    """An order as a line."""
    return json.dumps({"order": type(order).__name__, **asdict(order)})


def order_of(line: str):
    """The order that a line says. Raises UnknownOrderError."""
    try:
        said = json.loads(line)
        kind = ORDERS[said.pop("order")]
        if kind is Impair:
            return Impair([Rule(**rule) for rule in said["rules"]])
        return kind(**said)
    except (ValueError, KeyError, TypeError, AttributeError):
        raise UnknownOrderError(line[:80]) from None


def line_of_counts(counts: Counts) -> str:
    """Counts as a line."""
    return json.dumps(asdict(counts))


def counts_of(line: str) -> Counts:
    """The counts that a line says."""
    return Counts(**json.loads(line))
