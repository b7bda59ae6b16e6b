"""The state of one process in one group: candidate or holder of the lease, and voter if it is named as one.

No I/O. The host calls

    on_message(now_ms, sender, message)    sender: (name, incarnation) from the envelope
    tick(now_ms)                           at `due_ms`
    on_stored(now_ms, number, is_stored)   the result of a store request, which may be late or never come.
                                           True: fsynced with its directory; False: it may be on disk or not

and drains after each call

    outbox           [OutgoingLeaseMessage]
    store_requests   [StoreRequest]

Times are milliseconds of the process's own monotonic clock, which must count time spent suspended.
Assumptions:

- Clock rates differ by at most CLOCK_DRIFT_BOUND. Messages are not forged; truncated or corrupt ones are
  dropped (the envelope has a checksum).
- At most one running process has a given name, folder and incarnation; each start has a higher incarnation.
- The sections passed at the start are all that was stored, or none at all with is_new_disk=False (see
  `voter`).
- `fold(base, records) -> base` is supplied by the application. It has no side effects, is the same in all
  processes, and combines a base (b"" at first) and the records after it into an equivalent base. The state
  stays within `max_state_bytes`; `append` rejects records beyond that.

A lease states who may act *now*. A process may be paused for any time between `holds` and the action it
guards: an action that must not happen late has to carry `generation` as a fencing token, for its receiver to
reject it.
"""

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from lichenquay.lease.errors import InvalidGroupError
from lichenquay.lease.leadership import Leadership
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.log import FindStateError, FoldFunction
from lichenquay.lease.messages import (
    LEADER_METHODS,
    VOTER_METHODS,
    MessageKind,
    OutgoingLeaseMessage,
    ProcessId,
    StoreRequest,
    unwrap,
    wrap,
)
from lichenquay.lease.phases import LeaseEvent, Phase
from lichenquay.lease.quorum import INF
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.voter import Voter

MAX_LOCAL_MESSAGES = 10_000  # messages of a process to itself, handled in one call


class LeaseHolder(NamedTuple):
    """The latest known holder of the lease; `name` is None if there is none."""

    name: str | None
    generation: int


class GroupState(NamedTuple):
    """The state of a holder: the base folded by the application, and the records after it."""

    base: bytes
    records: list[bytes]


def concatenate(base: bytes, records: list[bytes]) -> bytes:
    """Returns base and records concatenated: a fold for tests and for groups of few records."""
    return base + b"".join(records)


def accept_any_state(base: bytes, records: list[bytes]) -> str | None:
    """Finds no error: for groups whose application checks nothing."""
    return None


def ignore_event(now_ms: float, event: LeaseEvent) -> None:
    """Ignores an event: the default listener."""


class LeaseGroup:
    """One group as seen by one of its processes."""

    def __init__(
        self,
        group_id: str,
        name: str,
        incarnation: int,
        voters: Sequence[str],
        rng: Random,
        settings: LeaseSettings,
        now_ms: float,
        sections: dict[str, bytes],
        is_new_disk: bool = False,
        fold: FoldFunction = concatenate,
        on_lease_event: Callable[[float, LeaseEvent], None] | None = None,
        find_state_error: FindStateError = accept_any_state,
    ):
        """Starts without a lease; a voter starts from the stored `sections`.

        `on_lease_event(now_ms, event)` is called with HOLDS when this process acquires the lease (see
        `state`) and with LOST when the lease ends. `find_state_error(base, records)` names what is wrong with
        a stored or received state: a damaged one is refused, and fetched from the holder.

        Raises InvalidGroupError if there are no voters or two share a name.
        """
        if len(set(voters)) != len(voters) or not voters:
            raise InvalidGroupError(
                f"group {group_id}: voters must be one or more unique names, got {list(voters)}"
            )
        self.group_id = group_id
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.outbox = []
        self.store_requests = []
        self._local_messages = deque()
        self._store_number = 0
        self._known_holder = LeaseHolder(None, 0)
        self.last_heartbeat_ms = now_ms  # from another holder; initially the start of this group
        self.foreign_messages = 0  # messages of other groups or of unknown kinds
        self.voter = None
        if name in voters:
            self.voter = Voter(
                rng,
                settings,
                now_ms,
                sections,
                is_new_disk,
                fold,
                self._send,
                self._request_store,
                find_state_error,
            )
        self.leadership = Leadership(
            voters,
            rng,
            settings,
            now_ms,
            fold,
            self._send,
            self._own_log,
            on_lease_event or ignore_event,
            find_state_error,
        )
        self._process_local_messages(now_ms)

    # Interface for the application.

    def holds(self, now_ms: float) -> bool:
        """Returns whether this process may act for the group now."""
        return self.leadership.holds(now_ms)

    @property
    def generation(self) -> int:
        """The generation of this process's lease; 0 while it holds none."""
        return self.leadership.generation if self._is_holding else 0

    @property
    def holder(self) -> LeaseHolder:
        """The latest holder known to this process."""
        if self._is_holding:
            return LeaseHolder(self.name, self.leadership.generation)
        return self._known_holder

    @property
    def state(self) -> GroupState | None:
        """The committed records followed by the pending ones while the lease is held, else None."""
        if not self._is_holding:
            return None
        log = self.leadership.log
        return GroupState(log.base, list(log.records))

    @property
    def _is_holding(self):
        return self.leadership.phase is Phase.HOLDING

    @property
    def damage(self) -> str | None:
        """Why the state that this voter stored was refused, in one line, until it is restored; or None."""
        return self.voter.damage if self.voter else None

    @property
    def is_candidate(self) -> bool:
        """Whether this process tries to acquire the lease when it does not hold it."""
        return self.leadership.is_candidate

    def set_candidate(self, now_ms: float, is_candidate: bool) -> None:
        """Sets whether to acquire the lease.

        Acquisitions start after a random delay and yield to an active holder.
        """
        leadership = self.leadership
        if is_candidate and not leadership.is_candidate:
            start_ms = now_ms + leadership.rng.uniform(0, self.settings.backoff_ms)
            leadership.next_acquire_ms = max(leadership.next_acquire_ms, start_ms)
        leadership.is_candidate = is_candidate

    def append(self, now_ms: float, record: bytes, on_result: Callable) -> None:
        """Appends a record of up to `max_append_bytes`; raises RecordSizeError beyond that.

        Calls on_result(now_ms, result) exactly once, immediately or later. True: the record is committed,
        that is, a majority has it on disk and the lease is held; every later holder has it. False: it was
        rejected. None: the result is unknown as the lease was lost; a later holder may or may not have the
        record.
        """
        self.leadership.expire(now_ms)
        self.leadership.append(now_ms, record, on_result)
        self._process_local_messages(now_ms)

    def release(self, now_ms: float) -> None:
        """Releases the lease once the pending records are committed; others may then acquire it at once.

        The process stops being a candidate.
        """
        self.leadership.expire(now_ms)
        self.leadership.release(now_ms)
        self._process_local_messages(now_ms)

    @property
    def is_announcing_release(self) -> bool:
        """Whether more notices of the latest release will be sent."""
        return self.leadership.release_notifier.is_pending

    # Interface for the host.

    @property
    def due_ms(self) -> float:
        """The time at which `tick` is due; inf: never."""
        return min(self.leadership.due_ms, self.voter.due_ms if self.voter else INF)

    def tick(self, now_ms: float) -> None:
        """Performs the actions that are due."""
        self.leadership.expire(now_ms)
        self.leadership.tick(now_ms)
        if self.voter:
            self.voter.tick(now_ms)
        self._process_local_messages(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: Message) -> None:
        """Handles a message from another process."""
        self.leadership.expire(now_ms)
        self._handle(now_ms, ProcessId(*sender), message)
        self._process_local_messages(now_ms)

    def on_stored(self, now_ms: float, number: int, is_stored: bool) -> None:
        """Handles the result of a store request."""
        self.leadership.expire(now_ms)
        # The result of an earlier request must not be taken for that of the pending one.
        if number == self._store_number and self.voter and self.voter.is_writing:
            self.voter.on_stored(now_ms, is_stored)
        self._process_local_messages(now_ms)

    def _handle(self, now_ms, sender, message):
        unwrapped = unwrap(self.group_id, message)
        if unwrapped is None:
            self.foreign_messages += 1
            return
        kind, body = unwrapped
        if kind is MessageKind.APPEND_REQUEST and sender.name != self.name:
            self._record_heartbeat(now_ms, sender, body.generation)
        if kind is MessageKind.RELEASE_NOTICE and self._known_holder == (sender.name, body.generation):
            self._known_holder = LeaseHolder(None, body.generation)
            start_ms = now_ms + self.leadership.rng.uniform(0, self.settings.backoff_ms)
            self.leadership.next_acquire_ms = start_ms
        if kind in VOTER_METHODS and self.voter:
            self.voter.handle(now_ms, sender, kind, body)
        if kind in LEADER_METHODS:
            self.leadership.handle(now_ms, sender, kind, body)

    def _record_heartbeat(self, now_ms, sender, generation):
        """Postpones acquisitions: the sender of an append request holds the lease or is about to."""
        self.last_heartbeat_ms = now_ms
        earliest_ms = now_ms + self.settings.lease_ms
        self.leadership.next_acquire_ms = max(self.leadership.next_acquire_ms, earliest_ms)
        if generation >= self._known_holder.generation:
            self._known_holder = LeaseHolder(sender.name, generation)

    def _process_local_messages(self, now_ms):
        """Handles this process's messages to itself.

        The next acquisition uses a generation above the promise of the local voter.
        """
        if self.voter:
            promised = self.voter.promise.generation
            self.leadership.highest_generation = max(self.leadership.highest_generation, promised)
        for _ in range(MAX_LOCAL_MESSAGES):
            if not self._local_messages:
                return
            self._handle(now_ms, ProcessId(self.name, self.incarnation), self._local_messages.popleft())

    def _send(self, name, body):
        message = wrap(self.group_id, body)
        if name == self.name:
            self._local_messages.append(message)
        else:
            self.outbox.append(OutgoingLeaseMessage(name, message))

    def _own_log(self):
        return self.voter.log if self.voter else None

    def _request_store(self, changes):
        self._store_number += 1
        self.store_requests.append(StoreRequest(self._store_number, changes))
