"""The lines of the simulator's protocol: a tag and name=value fields, separated by tabs."""

from lichenquay.admission.domain import EndpointState, ExecutionCost, Outcome, ProgressKind
from lichenquay.settings_section import MICROSECONDS_PER_MS, FieldReader

OUTCOMES = {
    "S": Outcome.COMPLETED,
    "E": Outcome.FAILED,
    "F": Outcome.OVERLOADED,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.NOT_CONNECTED,
    "R": Outcome.CONNECTION_RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.NEVER_SENT,
}
PROGRESS_KINDS = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILLING, 3: ProgressKind.WAITING}
ENDPOINT_STATES = {
    "IN": EndpointState.SERVING,
    "LAME": EndpointState.DRAINING,
    "OUT": EndpointState.REMOVED,
}
PACKED_WORK_FACTOR = 4096  # a packed cost is the work in milliseconds times this, plus the memory in units
PACKED_MEMORY_UNIT_MB = 4.0


class MalformedInputError(Exception):
    """Input that does not follow the protocol; the message names the line and the field."""


class WireLine(FieldReader):
    """One line of input."""

    __slots__ = ("line_number", "tag")

    def __init__(self, line_number: int, text: str):
        """Parses a line without its line end; a part without '=' is a field with an empty value."""
        tag, _, rest = text.partition("\t")
        super().__init__(dict([part.partition("=")[::2] for part in rest.split("\t")]) if rest else {})
        self.line_number = line_number
        self.tag = tag

    def error(self, name: str, problem: str) -> MalformedInputError:
        """Returns the exception as in `FieldReader`, with the line's number and tag."""
        return MalformedInputError(f"line {self.line_number}: {self.tag}: {name}: {problem}")

    def outcome(self, name: str) -> Outcome:
        """Returns how an attempt or a health check ended."""
        word = self.text(name)
        if word not in OUTCOMES:
            raise self.error(name, f"unknown: {word!r}")
        return OUTCOMES[word]

    def endpoint_state(self, name: str) -> EndpointState:
        """Returns the state of an engine on the endpoint list."""
        word = self.text(name)
        if word not in ENDPOINT_STATES:
            raise self.error(name, f"unknown: {word!r}")
        return ENDPOINT_STATES[word]

    def execution_cost(self, name: str) -> ExecutionCost | None:
        """Returns the cost unpacked from the field; None if there is none."""
        packed = self.integer(name, 0)
        if not packed:
            return None
        work_ms = float(packed // PACKED_WORK_FACTOR)
        return ExecutionCost(work_ms, (packed % PACKED_WORK_FACTOR) * PACKED_MEMORY_UNIT_MB)

    def load_report(self, name: str) -> dict[str, float] | None:
        """Returns a load report as numbers by column, without empty columns; None if there is none."""
        value = self.fields.get(name)
        if not value:
            return None
        try:
            columns = (pair.partition(":") for pair in value.split(","))
            return {column: float(number) for column, _, number in columns if number}
        except ValueError:
            raise self.error(name, f"unreadable: {value!r}") from None


def single_line(text: object) -> str:
    """Returns text that fits into a field: each run of white space becomes a single space."""
    return " ".join(str(text).split())


def microseconds(time_ms: float) -> str:
    """Returns a time in milliseconds as the text of whole microseconds."""
    return str(int(round(time_ms * MICROSECONDS_PER_MS)))
