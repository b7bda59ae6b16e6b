"""The coordinator of one replica group: its sessions, handovers and messages. No I/O.

The host passes messages of other replica groups to `on_message(now_ms, sender, message)`, calls
`tick(now_ms)` at `due_ms`, and delivers each message in `outbox` to the leader of the replica group that it
is addressed to. Requests of clients are handled in `session_service`.
"""

from typing import NamedTuple

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.handover_source import HandoverSource
from lichenquay.migration.handover_target import HandoverTarget
from lichenquay.migration.messages import OutgoingMigrationMessage, is_intact, with_checksum
from lichenquay.migration.session import SessionState
from lichenquay.migration.session_service import SessionService
from lichenquay.migration.settings import MigrationSettings

DEFAULT_SETTINGS = MigrationSettings()
IDLE_TICK_PERIODS = 10  # tick periods between two checks for leadership while this process does not lead


class SessionStatus(NamedTuple):
    """The status of one session, for operators. `replica_group`: the one that serves it."""

    session_id: str
    replica_group: str
    generation: int
    state: SessionState


class Coordinator(SessionService):
    """Serves and hands over the sessions of a replica group while its process leads that group."""

    handover_source_type = HandoverSource
    handover_target_type = HandoverTarget

    def __init__(self, replica_group: str, group, settings: MigrationSettings = DEFAULT_SETTINGS):
        """Creates a coordinator that does not lead yet. `group`: a `quota.ledger_records.PiecewiseGroup`."""
        super().__init__(replica_group, group)
        self.settings = settings
        self.outbox: list[OutgoingMigrationMessage] = []
        self.misdirected_messages = 0
        self.rejected_messages = 0
        self.handover_source = self.handover_source_type(self)
        self.handover_target = self.handover_target_type(self)

    def on_step_down(self) -> None:
        """Discards all state that is not in the log."""
        super().on_step_down()
        self.handover_source.forget_term()
        self.handover_target.forget_term()

    def on_write_ended(self, now_ms: float) -> None:
        """Continues handovers with the committed changes."""
        self.handover_source.advance(now_ms)

    @property
    def due_ms(self) -> float:
        """The time at which `tick` is to be called next."""
        return self.handover_source.due_ms

    def tick(self, now_ms: float) -> None:
        """Continues handovers and retries unanswered messages."""
        if not self.refresh_leadership(now_ms):
            self.handover_source.due_ms = now_ms + self.settings.tick_period_ms * IDLE_TICK_PERIODS
            return
        self.handover_source.tick(now_ms)
        self.flush(now_ms)
        self.forget_ended_deadlines()

    # Messages between replica groups.

    def on_message(self, now_ms: float, sender, message: pb.Message) -> None:
        """Handles a message of another replica group.

        A message that is damaged or addressed to another replica group is counted and ignored.
        """
        kind = message.WhichOneof("body")
        is_for_here = message.to == self.replica_group and message.replica_group != self.replica_group
        if kind is None or not is_for_here or not is_intact(message):
            self.rejected_messages += 1
            return
        if not self.refresh_leadership(now_ms):
            self.misdirected_messages += 1
            return
        if kind == "offer":
            self.handover_target.on_offer(now_ms, message, message.offer)
        elif kind == "room":
            self.handover_source.on_offer_answer(now_ms, message, message.room)
        elif kind == "handed":
            self.handover_target.on_handover(now_ms, message, message.handed)
        elif kind == "kept":
            self.handover_source.on_acknowledgement(now_ms, message, message.kept)
        self.flush(now_ms)

    def send(self, to: str, term: int | None = None, **body) -> None:
        """Queues a message to another replica group; an answer carries the term of its request."""
        message = pb.Message(
            replica_group=self.replica_group,
            to=to,
            term=self.generation if term is None else term,
            **body,
        )
        self.outbox.append(OutgoingMigrationMessage(to, with_checksum(message)))

    # For operators.

    def status(self) -> list[SessionStatus]:
        """Returns the status of each session known here."""
        sessions = self.committed.live_sessions if self.committed else ()
        return [
            SessionStatus(
                session.session_id,
                self.committed.locate(session.session_id).replica_group,
                session.generation,
                SessionState(session.state),
            )
            for session in sessions
        ]
