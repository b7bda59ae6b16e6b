"""The commands that a run sends to its processes and their answers: one JSON object a line, on standard input
and output.
"""

import json
from dataclasses import asdict, dataclass, field

from lichenquay.testbed.scale.impairment import Rule


class UnknownCommandError(ValueError):
    """Raised for a line that is not a command."""


@dataclass(frozen=True)
class StartFronts:
    """Starts these lightweight gateways; names are as in `Shape`."""

    names: list[str]


@dataclass(frozen=True)
class StopFronts:
    """Ends these lightweight gateways without notification, as when a process is killed."""

    names: list[str]


@dataclass(frozen=True)
class ReadSlowly:
    """Makes these gateways stop reading their sockets (`on`), or resume."""

    names: list[str]
    on: bool


@dataclass(frozen=True)
class Impair:
    """Replaces the impairment rules for what this process sends."""

    rules: list[Rule] = field(default_factory=list)


@dataclass(frozen=True)
class FailDisk:
    """Makes the disk refuse writes (`full`), or delays each fsync by `delay_ms`; by default clears both
    faults.
    """

    full: bool = False
    delay_ms: float = 0.0


@dataclass(frozen=True)
class Count:
    """Requests `Counts` as the answer."""


@dataclass(frozen=True)
class End:
    """Ends the process, after it has written its record."""


COMMANDS = {
    command.__name__: command
    for command in (StartFronts, StopFronts, ReadSlowly, Impair, FailDisk, Count, End)
}


@dataclass(frozen=True)
class Counts:
    """Holds what a process has sent and received since its start, in datagrams and their bytes."""

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    heard_bytes: int = 0
    dropped: int = 0
    fronts: int = 0  # Lightweight gateways that run now.
    oldest: int = 0  # The lowest version in force among them; for a relay, its own.
    leads: bool = False


def encode_command(command) -> str:
    """Returns a command as a line."""
    return json.dumps({"order": type(command).__name__, **asdict(command)})


def decode_command(line: str):
    """Returns the command of a line. Raises UnknownCommandError."""
    try:
        fields = json.loads(line)
        command_class = COMMANDS[fields.pop("order")]
        if command_class is Impair:
            return Impair([Rule(**rule) for rule in fields["rules"]])
        return command_class(**fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        raise UnknownCommandError(line[:80]) from None


def encode_counts(counts: Counts) -> str:
    """Returns counts as a line."""
    return json.dumps(asdict(counts))


def decode_counts(line: str) -> Counts:
    """Returns the counts of a line."""
    return Counts(**json.loads(line))
