"""This process's part in one group: a voter (where named as one), and a candidate or holder of the lease.

No I/O. The host calls

    on_message(now_ms, sender, message)         sender: (name, incarnation) of the envelope
    tick(now_ms)                           to be called at `due_ms`
    on_stored(now_ms, number, is_stored)   the disk's answer to a store request, late or never.
                                           True: fsynced with its directory; False: it may be on disk or not

and empties after each call

    outbox           [OutgoingMessage]
    store_requests   [StoreRequest]

Times are milliseconds of the process's own monotonic clock, which runs on through a suspension. Assumptions:

- Clocks keep within CLOCK_DRIFT_BOUND of each other. Nobody forges messages; what was cut off or flipped
  is lost (the envelope's checksum).
- One process at a time has a name, its folder and its incarnation, and each start has a higher one.
- The sections given at the start are all that was stored, or none at all with is_new_disk=False (see
  `voter`).
- `fold(base, records) -> base` is the application's, without side effects and the same in all processes:
  it makes of a base (b"" at first) and the records after it a base that says the same. The state stays
  within `max_state_bytes`; `append` refuses beyond.

A lease says who may act *now*. Between asking `holds` and the act a process may be paused for any time:
what must not happen then has to carry `generation`, as a fencing token, to whoever can refuse it.
"""

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from lichenquay.lease.errors import InvalidGroupError
from lichenquay.lease.leadership import Leadership
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.log import FoldFunction
from lichenquay.lease.messages import (
    LEADER_METHODS,
    VOTER_METHODS,
    MessageKind,
    OutgoingMessage,
    ProcessId,
    StoreRequest,
    unwrap,
    wrap,
)
from lichenquay.lease.phases import LeaseEvent, Phase
from lichenquay.lease.quorum import INF
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.voter import Voter

MAX_LOCAL_MESSAGES = 10_000  # to itself in one call


class LeaseHolder(NamedTuple):
    """The latest holder known of; `name` None: nobody."""

    name: str | None
    generation: int


class GroupState(NamedTuple):
    """What a holder has: the base that the application folded, and the records after it."""

    base: bytes
    records: list[bytes]


def concatenate(base: bytes, records: list[bytes]) -> bytes:
    """A fold for tests and for groups of a few records: all one after the other."""
    return base + b"".join(records)


def ignore_event(now_ms: float, event: LeaseEvent) -> None:
    """Does nothing with an event."""


class LeaseGroup:
    """One group as this process takes part in it."""

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
    ):
        """Start without a lease; a voter starts with the stored `sections`.

        `on_lease_event(now_ms, event)`: HOLDS when this process got the lease (see `state`), LOST at its end.

        Raises InvalidGroupError where voters are none or share a name.
        """
        if len(set(voters)) != len(voters) or not voters:
            raise InvalidGroupError(f"group {group_id}: voters need names of their own")
        self.group_id = group_id
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.outbox = []
        self.store_requests = []
        self._local_messages = deque()
        self._store_number = 0
        self._known_holder = LeaseHolder(None, 0)
        self.last_heartbeat_ms = now_ms  # of another holder; at first the start of this group
        self.foreign_messages = 0  # of other groups, or of no known kind
        self.voter = None
        if name in voters:
            self.voter = Voter(
                rng, settings, now_ms, sections, is_new_disk, fold, self._send, self._request_store
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
        )
        self._settle(now_ms)

    # What the application asks.

    def holds(self, now_ms: float) -> bool:
        """Whether this process may act for the group now."""
        return self.leadership.holds(now_ms)

    @property
    def generation(self) -> int:
        """The generation of this process's lease; 0 while it holds none."""
        return self.leadership.generation if self._is_holding else 0

    @property
    def holder(self) -> LeaseHolder:
        """The latest holder known of here."""
        if self._is_holding:
            return LeaseHolder(self.name, self.leadership.generation)
        return self._known_holder

    @property
    def state(self) -> GroupState | None:
        """While it holds: all that is committed, then what is pending. None otherwise."""
        if not self._is_holding:
            return None
        log = self.leadership.log
        return GroupState(log.base, list(log.records))

    @property
    def _is_holding(self):
        return self.leadership.phase is Phase.HOLDING

    @property
    def is_candidate(self) -> bool:
        """Whether this process acquires the lease while it does not hold it."""
        return self.leadership.is_candidate

    def set_candidate(self, now_ms: float, is_candidate: bool) -> None:
        """Whether to acquire the lease. Acquisitions start at random times, and wait for an active holder."""
        leadership = self.leadership
        if is_candidate and not leadership.is_candidate:
            start_ms = now_ms + leadership.rng.uniform(0, self.settings.backoff_ms)
            leadership.next_acquire_ms = max(leadership.next_acquire_ms, start_ms)
        leadership.is_candidate = is_candidate

    def append(self, now_ms: float, record: bytes, on_result: Callable) -> None:
        """Appends a record of up to `max_append_bytes`; RecordSizeError beyond.

        on_result(now_ms, result) comes exactly once, at once or later. True: it is committed, a majority
        has it on disk and the lease holds; every later holder has it. False: it was not accepted. None: in
        doubt, the lease was lost meanwhile; a later holder may have it or not.
        """
        self.leadership.expire(now_ms)
        self.leadership.append(now_ms, record, on_result)
        self._settle(now_ms)

    def release(self, now_ms: float) -> None:
        """Release the lease once the pending records are committed; others may then acquire it at once.

        The process is no candidate afterwards.
        """
        self.leadership.expire(now_ms)
        self.leadership.release(now_ms)
        self._settle(now_ms)

    @property
    def is_announcing_release(self) -> bool:
        """Whether notices of the latest release are still to be sent."""
        return self.leadership.release_notifier.is_pending

    # What the host calls.

    @property
    def due_ms(self) -> float:
        """When `tick` is due; inf: never."""
        return min(self.leadership.due_ms, self.voter.due_ms if self.voter else INF)

    def tick(self, now_ms: float) -> None:
        """Does what is due."""
        self.leadership.expire(now_ms)
        self.leadership.tick(now_ms)
        if self.voter:
            self.voter.tick(now_ms)
        self._settle(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: Message) -> None:
        """Handles a message of another process."""
        self.leadership.expire(now_ms)
        self._handle(now_ms, ProcessId(*sender), message)
        self._settle(now_ms)

    def on_stored(self, now_ms: float, number: int, is_stored: bool) -> None:
        """Handles the disk's answer to a store request."""
        self.leadership.expire(now_ms)
        # An answer to an earlier request must not pass for the one that is waited for.
        if number == self._store_number and self.voter and self.voter.is_writing:
            self.voter.on_stored(now_ms, is_stored)
        self._settle(now_ms)

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
        """Whoever sends append requests holds the lease or soon will: not the time to acquire it."""
        self.last_heartbeat_ms = now_ms
        earliest_ms = now_ms + self.settings.lease_ms
        self.leadership.next_acquire_ms = max(self.leadership.next_acquire_ms, earliest_ms)
        if generation >= self._known_holder.generation:
            self._known_holder = LeaseHolder(sender.name, generation)

    def _settle(self, now_ms):
        """Handles the messages to itself; a promise of its own voter is known to its next acquisition."""
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
            self.outbox.append(OutgoingMessage(name, message))

    def _own_log(self):
        return self.voter.log if self.voter else None

    def _request_store(self, changes):
        self._store_number += 1
        self.store_requests.append(StoreRequest(self._store_number, changes))
