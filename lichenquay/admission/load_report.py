"""An engine's load report, read from the fields of its report columns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine reports of its load. Counts and shares that it does not report are 0."""

    utilisation: float | None  # share of its cores in use; None: not reported
    active_queries: float
    waiting_queries: float  # for memory
    granted_memory_share: float
    busy_disk_share: float

    @classmethod
    def from_fields(cls, fields: dict[str, float]) -> "LoadReport":
        """Reads a report by the names of its columns on the wire."""
        return cls(
            fields.get("cpu"),
            fields.get("active", 0.0),
            fields.get("waiting", 0.0),
            fields.get("x0", 0.0),
            fields.get("x1", 0.0),
        )
