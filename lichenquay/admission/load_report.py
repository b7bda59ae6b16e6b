"""An engine's load report, read from the fields of its report columns."""

from dataclasses import dataclass

# Names of report columns, as the simulator and the gateway's parser give them.
UTILISATION = "cpu"
ACTIVE_QUERIES = "active"
WAITING_QUERIES = "waiting"
GRANTED_MEMORY_SHARE = "x0"
BUSY_DISK_SHARE = "x1"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reports. Counts and shares that it does not report are 0."""

    utilisation: float | None  # share of the engine's cores in use; None: not reported
    active_queries: float
    waiting_queries: float  # queries that wait for memory
    granted_memory_share: float
    busy_disk_share: float

    @classmethod
    def from_fields(cls, fields: dict[str, float]) -> "LoadReport":
        """Creates a report from numbers by column name on the wire."""
        return cls(
            fields.get(UTILISATION),
            fields.get(ACTIVE_QUERIES, 0.0),
            fields.get(WAITING_QUERIES, 0.0),
            fields.get(GRANTED_MEMORY_SHARE, 0.0),
            fields.get(BUSY_DISK_SHARE, 0.0),
        )
