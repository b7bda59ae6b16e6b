"""Leadership of a state machine that is stored in a replicated group. No I/O.

A leader has two copies: `speculative` includes all decided changes, `committed` only those that the group has
committed; they differ while a write is pending. After a write with an unknown result, this process does not
lead before the group's next generation.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

Machine = TypeVar("Machine")


class ReplicatedGroup(Protocol):
    """The operations of a replicated group that a leader uses."""

    generation: int

    def holds(self, now_ms: float) -> bool:
        """Returns whether this process holds the group's lease."""

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool | None], None]) -> None:
        """Appends a record and calls `done(now_ms, committed)` once, immediately or later.

        `committed`: True, False (definitely not) or None (unknown). Without that call, this process never
        leads again.
        """

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """Returns the state at the start of the holder's lease, and the records after it."""


class StateMachineLeader(ABC, Generic[Machine]):
    """A leader while its process holds the group's lease. Subclasses decide on changes and write them."""

    load_errors: tuple[type[Exception], ...] = ()  # raised by `load` for a stored state that it rejects

    def __init__(self, group: ReplicatedGroup, log_name: str):
        """Starts without a term. `log_name`: what the group stores, for the text of `last_error`."""
        self.group = group
        self.log_name = log_name
        self.committed: Machine | None = None
        self.speculative: Machine | None = None
        self.generation: int | None = None  # of the current term
        self.term_started_ms = 0.0
        self.uncertain_generation: int | None = None  # in which a write had an unknown result
        self.uncertain_writes = 0
        self.pending_write = None  # the write that has no result yet
        self.last_error: str | None = None  # why it does not lead although it holds the lease

    @abstractmethod
    def load(self, state: bytes, records: list[bytes]) -> Machine:
        """Returns the state machine of a snapshot and the records after it. Raises `load_errors`."""

    @abstractmethod
    def forget_term(self, now_ms: float) -> None:
        """Discards the state of the term that has ended."""

    def on_term_started(self, now_ms: float) -> None:
        """Does nothing; subclasses override it to act at the start of a term."""

    def step_down(self, now_ms: float) -> None:
        """Ends the term."""
        self.committed = None
        self.speculative = None
        self.generation = None
        self.forget_term(now_ms)

    def refresh_leadership(self, now_ms: float) -> bool:
        """Starts or ends a term as the lease requires, and returns whether this process may act now.

        A new term starts from the state that the group has committed.
        """
        if not self.group.holds(now_ms) or self.group.generation == self.uncertain_generation:
            if self.committed:
                self.step_down(now_ms)
            return False
        if self.committed is None or self.generation != self.group.generation:
            return self._start_term(now_ms)
        return True

    def _start_term(self, now_ms: float) -> bool:
        self.step_down(now_ms)
        if self.pending_write:
            # A record of an earlier term could still be committed after the state is read.
            return False
        self.generation = self.group.generation
        try:
            state, records = self.group.snapshot()
            self.committed = self.load(state, records)
            self.speculative = self.load(state, records)
        except self.load_errors as error:
            # A state that is corrupt or was written by a newer version is left unchanged, never replaced.
            self.last_error = f"{self.log_name} cannot be read: {error}"
            self.uncertain_generation = self.generation
            self.step_down(now_ms)
            return False
        self.term_started_ms = now_ms
        self.on_term_started(now_ms)
        return True

    def step_down_after_write(self, now_ms: float, committed: bool | None, generation: int) -> None:
        """Ends the term after a write of that generation that was not committed or has an unknown result.

        Part of the write may be committed; the next leader reads that from the group.
        """
        self.uncertain_writes += 1
        if committed is None:
            self.uncertain_generation = generation
        self.step_down(now_ms)
