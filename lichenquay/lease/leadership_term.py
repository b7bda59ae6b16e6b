"""Leadership of a state machine that a replicated group stores. No I/O.

There are two copies: `speculative` has what was decided, `committed` what the group has committed; they
differ while a write is pending. Where the result of a write is not known, this process does not lead until
the group's next generation.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

Machine = TypeVar("Machine")


class ReplicatedGroup(Protocol):
    """What a leader needs of the replicated group."""

    generation: int

    def holds(self, now_ms: float) -> bool:
        """Whether this process holds the group's lease."""

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool | None], None]) -> None:
        """Calls `done(now_ms, committed)` once, now or later.

        `committed`: True, False (certainly not), or None (not known). Without that call, this process never
        leads again.
        """

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """The state that the holder found, and the records after it."""


class StateMachineLeader(ABC, Generic[Machine]):
    """Leads while its process holds the group. Subclasses decide changes and write them."""

    load_errors: tuple[type[Exception], ...] = ()  # by which `load` rejects what is stored

    def __init__(self, group: ReplicatedGroup, log_name: str):
        """`log_name`: what is stored in the group, for `last_error`."""
        self.group = group
        self.log_name = log_name
        self.committed: Machine | None = None
        self.speculative: Machine | None = None
        self.generation: int | None = None  # of this term
        self.term_started_ms = 0.0
        self.uncertain_generation: int | None = None  # in which the result of a write is not known
        self.uncertain_writes = 0
        self.pending_write = None  # whose result is not known yet
        self.last_error: str | None = None  # why it does not lead though it holds the group

    @abstractmethod
    def load(self, state: bytes, records: list[bytes]) -> Machine:
        """The state machine of a snapshot and the records after it. Raises `load_errors`."""

    @abstractmethod
    def forget_term(self, now_ms: float) -> None:
        """Forgets what belongs to the term that has ended."""

    def on_term_started(self, now_ms: float) -> None:
        """Called when a term begins."""

    def step_down(self, now_ms: float) -> None:
        """Ends the term."""
        self.committed = None
        self.speculative = None
        self.generation = None
        self.forget_term(now_ms)

    def refresh_leadership(self, now_ms: float) -> bool:
        """Whether this process may act now; a new term begins with what the group has committed."""
        if not self.group.holds(now_ms) or self.group.generation == self.uncertain_generation:
            if self.committed:
                self.step_down(now_ms)
            return False
        if self.committed is None or self.generation != self.group.generation:
            return self._begin_term(now_ms)
        return True

    def _begin_term(self, now_ms: float) -> bool:
        self.step_down(now_ms)
        if self.pending_write:
            # A record of an earlier term could be committed after the state was read.
            return False
        self.generation = self.group.generation
        try:
            state, records = self.group.snapshot()
            self.committed = self.load(state, records)
            self.speculative = self.load(state, records)
        except self.load_errors as error:
            # What a newer version wrote, or what is damaged, is left alone and never begun anew.
            self.last_error = f"{self.log_name} cannot be read: {error}"
            self.uncertain_generation = self.generation
            self.step_down(now_ms)
            return False
        self.term_started_ms = now_ms
        self.on_term_started(now_ms)
        return True

    def step_down_after_write(self, now_ms: float, committed: bool | None, generation: int) -> None:
        """A write of that generation was not committed, or its result is unknown.

        Part of it may be committed; whoever leads next finds out from the group.
        """
        self.uncertain_writes += 1
        if committed is None:
            self.uncertain_generation = generation
        self.step_down(now_ms)
