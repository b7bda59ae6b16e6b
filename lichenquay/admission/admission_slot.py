"""M&M's state for one resource group on one engine, or on all engines together (paper, 4.3)."""

from dataclasses import dataclass
from enum import Enum
from math import inf

from lichenquay.admission.domain import ResourceGroup


class SlotKind(Enum):
    """How much memory a slot grants."""

    MAXIMUM = "maximum"  # all the memory that the query can use
    MINIMUM = "minimum"  # a share of that memory


@dataclass(slots=True)
class SlotInterval:
    """Sums over the attempts that ended since the slot's last feedback step."""

    started_ms: float
    results: int = 0
    lateness_ms: float = 0.0  # relative to the latency objective; negative if earlier
    lateness_squared: float = 0.0
    granted_mb: float = 0.0
    waiting: float = 0.0  # queries waiting for the slot's engine, summed over the results
    running: float = 0.0  # attempts holding the slot, summed over the results


class AdmissionSlot:
    """Slot limits of one engine and group, the memory pool of its maximum slots, and their usage."""

    __slots__ = (
        "admitted_ms",
        "delay_ms",
        "interval",
        "is_pooled",
        "maximum",
        "mean_runtime_ms",
        "meets_objective",
        "minimum",
        "pool_mb",
        "pool_used_mb",
        "running_maximum",
        "running_minimum",
        "siblings",
    )

    def __init__(
        self, maximum: int, siblings: dict[ResourceGroup, "AdmissionSlot"], is_pooled: bool, now_ms: float
    ):
        """Creates a slot with a limit of `maximum` maximum slots and no minimum slots.

        `siblings`: the slots of all groups that share its memory.
        """
        self.maximum = maximum
        self.minimum = 0
        self.siblings = siblings
        self.is_pooled = is_pooled  # one limit for all engines together
        self.pool_mb: float | None = None  # None until the first grant sets it
        self.pool_used_mb = 0.0
        self.running_maximum = 0
        self.running_minimum = 0
        self.meets_objective = False
        self.delay_ms = 0.0  # shortest time between two admissions under pressure
        self.admitted_ms = -inf
        self.mean_runtime_ms = 0.0
        self.start_interval(now_ms)

    def start_interval(self, now_ms: float) -> None:
        """Starts a new feedback interval."""
        self.interval = SlotInterval(now_ms)

    def has_free_maximum(self, grant_mb: float) -> bool:
        """Returns whether a maximum slot is free and the grant fits into the memory pool.

        The first holder may exceed the pool; otherwise a query larger than the pool would never run.
        """
        return self._fits_pool(grant_mb) and self.running_maximum < self.maximum

    def has_free_minimum(self) -> bool:
        """Returns whether a minimum slot is free."""
        return self.running_minimum < self.minimum

    def _fits_pool(self, grant_mb: float) -> bool:
        if not self.running_maximum or self.pool_mb is None:
            return True
        return self.pool_used_mb + grant_mb <= self.pool_mb
