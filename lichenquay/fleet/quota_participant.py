"""A gateway's participation in the fleet's quota: its escrow and, on a voter, the ledger's group and leader.

No I/O. The runtime has two components of it: `group` (messages of the lease group) and `QuotaParticipant`
itself (token requests and answers). The runtime supplies time, messages and stored sections.
"""

from collections.abc import Callable, Mapping
from random import Random

from lichenquay.config.fleet_settings import (
    DEFAULT_LEASE_MS,
    DEFAULT_TERM_MS,
    gateway_names,
    ledger_account,
    voter_names,
)
from lichenquay.fleet.message_envelope import Sender
from lichenquay.fleet.quota_status import quota_lines
from lichenquay.lease.group import LeaseGroup, LeaseHolder
from lichenquay.lease.settings import LeaseSettings
from lichenquay.membership.member_state import MemberState
from lichenquay.quota import ledger_records, quota_pb2
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.ledger_leader import LedgerLeader

LEDGER_GROUP = "ledger"
SECTION_PREFIX = "owner/ledger/"  # of the group's sections in the store
MAX_LEDGER_BYTES = 1 << 20
# While they have no queries, all gateways together hold 1/8 of a bucket, each an equal share.
IDLE_STOCK_DIVISOR = 8
LEADER_CHECK_INTERVAL_MS = 250.0  # between two checks of which process leads the ledger
ANSWER_TIMEOUT_MS = 1000.0  # after which requests go to another voter
MAX_SILENT_LEASES = 3.0  # lease durations without a heartbeat after which others try to acquire the lease
MAX_LOCAL_ROUNDS = 64  # of messages per call between the escrow and the leader of the same process
HEARTBEATS_PER_LEASE = 6
RETRIES_PER_LEASE = 15
BACKOFFS_PER_LEASE = 10
NEVER_MS = float("inf")
UNREACHABLE_STATES = (None, MemberState.FAULTY, MemberState.LEFT, MemberState.REMOVED)
NO_HOLDER = LeaseHolder(None, 0)


class QuotaParticipant:
    """Reserves tokens for queries, requests more, and leads the ledger while this process holds its lease."""

    def __init__(
        self,
        settings,
        incarnation: int,
        rng: Random,
        now_ms: float,
        stored_sections: Mapping[str, bytes],
        member_state: Callable[[str], MemberState | None],
        is_under_pressure: Callable[[], bool],
        log,
    ):
        """Creates the escrow and, on a voter, the lease group and the leader of the ledger.

        settings: the `fleet` section. stored_sections: of the ledger's group, without prefix. member_state:
        returns what membership knows of a gateway. is_under_pressure: returns whether the controller has no
        capacity beyond quota.
        """
        self.name = settings.name
        self.incarnation = incarnation
        self.rng = rng
        self.log = log
        self.member_state = member_state
        self.is_under_pressure = is_under_pressure
        self.voters = voter_names(settings)
        self.gateway_count = len(gateway_names(settings))
        self.account_terms = [ledger_account(account) for account in settings.accounts]
        self.term_ms = settings.term_ms or DEFAULT_TERM_MS
        self.group: LeaseGroup | None = None
        self.leader: LedgerLeader | None = None
        if self.name in self.voters:
            self.group = self._new_group(settings.lease_ms or DEFAULT_LEASE_MS, now_ms, stored_sections)
            if self.group.damage:
                self.log.warning("stored ledger refused, fetched from the holder", reason=self.group.damage)
            group = ledger_records.PiecewiseGroup(self.group)
            self.leader = LedgerLeader(group, self.account_terms, self.term_ms)
        self.escrow = self._new_escrow()
        self.outbox: list = []
        self.is_leaving = False
        self.next_leader_check_ms = now_ms
        self.asked_voter = rng.choice(self.voters)
        self.unanswered_since_ms: float | None = None
        self.answering_leader = NO_HOLDER  # of the latest generation that answered this gateway

    def _new_group(self, lease_ms, now_ms, stored_sections):
        lease_settings = LeaseSettings(
            lease_ms=lease_ms,
            heartbeat_ms=lease_ms / HEARTBEATS_PER_LEASE,
            retry_ms=lease_ms / RETRIES_PER_LEASE,
            backoff_ms=lease_ms / BACKOFFS_PER_LEASE,
            max_state_bytes=MAX_LEDGER_BYTES,
        )
        return LeaseGroup(
            LEDGER_GROUP,
            self.name,
            self.incarnation,
            self.voters,
            self.rng,
            lease_settings,
            now_ms,
            stored_sections,
            fold=ledger_records.fold,
            on_lease_event=self._on_lease_event,
            find_state_error=ledger_records.find_state_error,
        )

    def _new_escrow(self):
        # Without an idle stock, a tenant's first queries at a gateway would always count as over quota.
        idle_stocks_us = {
            terms.tenant: terms.bucket_us // (IDLE_STOCK_DIVISOR * self.gateway_count)
            for terms in self.account_terms
        }
        return TokenEscrow(self.name, self.incarnation, idle_stocks_us, self.term_ms, random=self.rng)

    def restart_with_incarnation(self, incarnation: int) -> None:
        """Continues under a new incarnation: tokens of the old one are no longer spent, its overruns stay."""
        overruns_us = self.escrow.overruns_us
        self.incarnation = incarnation
        self.escrow = self._new_escrow()
        self.escrow.overruns_us = overruns_us
        if self.group is not None:
            self.group.incarnation = incarnation

    def _on_lease_event(self, now_ms, event):
        self.log.info("ledger", what=event, generation=self.group.generation)

    # queries

    def reserve(self, now_ms: float, query, work_ms: float) -> bool:
        """Reserves the work of a query that is within its tenant's quota, credit included.

        Returns whether it is.
        """
        self.escrow.under_pressure = self.is_under_pressure()
        return self.escrow.reserve(now_ms, query.tenant.name, work_ms, query)

    # component of the runtime

    @property
    def due_ms(self) -> float:
        """When `tick` is to be called next."""
        leader_due_ms = self.leader.due_ms if self.is_leading else NEVER_MS
        return min(self.next_leader_check_ms, self.escrow.due_ms, leader_due_ms)

    @property
    def is_leading(self) -> bool:
        """Whether this process holds the ledger's lease."""
        return bool(self.leader and self.group.generation)

    def tick(self, now_ms: float) -> None:
        """Runs all work that is due."""
        if now_ms >= self.next_leader_check_ms:
            self._check_leader(now_ms)
        if self.is_leading and now_ms >= self.leader.due_ms:
            self.leader.tick(now_ms)
        if now_ms >= self.escrow.due_ms:
            self.escrow.under_pressure = self.is_under_pressure()
            self.escrow.tick(now_ms)
        self._exchange_messages(now_ms)

    def on_message(self, now_ms: float, sender: Sender, message: quota_pb2.Message) -> None:
        """Handles a message of another gateway."""
        self._handle(now_ms, sender, message)
        self._exchange_messages(now_ms)

    def _handle(self, now_ms, sender, message):
        if message.HasField("ask"):
            if self.leader:
                self.leader.on_message(now_ms, sender, message.ask)
        elif message.HasField("answer"):
            self._handle_answer(now_ms, sender, message.answer)

    def _handle_answer(self, now_ms, sender, answer):
        self.unanswered_since_ms = None
        if answer.generation >= self.answering_leader.generation:
            self.answering_leader = LeaseHolder(sender.name, answer.generation)
        self.escrow.on_message(now_ms, sender, answer)

    def _exchange_messages(self, now_ms):
        """Delivers messages between escrow and leader of this process; others go to the outbox."""
        own_sender = Sender(self.name, self.incarnation)
        for _ in range(MAX_LOCAL_ROUNDS):
            local_messages = []
            for receiver, message in self._collect_messages(now_ms):
                if receiver == self.name:
                    local_messages.append(message)
                else:
                    self.outbox.append((receiver, message))
            if not local_messages:
                return
            for message in local_messages:
                self._handle(now_ms, own_sender, message)

    def _collect_messages(self, now_ms):
        requests = self.escrow.outbox
        self.escrow.outbox = []
        answers = []
        if self.leader:
            answers = self.leader.outbox
            self.leader.outbox = []
        if requests and self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        wrapped_requests = [(name, quota_pb2.Message(ask=request)) for name, request in requests]
        wrapped_answers = [(name, quota_pb2.Message(answer=answer)) for name, answer in answers]
        return wrapped_requests + wrapped_answers

    # leader of the ledger

    def _check_leader(self, now_ms):
        """Updates where requests go, and whether this process tries to acquire the lease."""
        self.next_leader_check_ms = now_ms + LEADER_CHECK_INTERVAL_MS
        holder = NO_HOLDER
        if self.group is not None:
            holder = self.group.holder
            is_candidate = (
                self._is_holder_gone(now_ms, holder)
                and not self.is_leaving
                and self.member_state(self.name) == MemberState.ALIVE
            )
            self.group.set_candidate(now_ms, is_candidate)
        self.escrow.leader = self._select_leader(now_ms, holder)

    def _is_holder_gone(self, now_ms, holder):
        # A member that is alive but no longer holds the lease sends no heartbeats. If membership alone
        # decided, all others would wait for it.
        silence_ms = now_ms - self.group.last_heartbeat_ms
        return (
            silence_ms > MAX_SILENT_LEASES * self.group.settings.lease_ms
            or holder.name in (None, self.name)
            or self.member_state(holder.name) in UNREACHABLE_STATES
        )

    def _select_leader(self, now_ms, holder):
        """Selects the process to which requests go.

        A voter knows the holder of the lease. Any other gateway asks one voter after the other until one
        answers.
        """
        if holder.name is not None and holder.generation >= self.answering_leader.generation:
            return holder
        if self._is_answer_overdue(now_ms):
            other_voters = [voter for voter in self.voters if voter not in (self.asked_voter, self.name)]
            self.asked_voter = self.rng.choice(other_voters or self.voters)
            self.answering_leader = self.answering_leader._replace(name=None)
            self.unanswered_since_ms = now_ms
        if self.answering_leader.name:
            return self.answering_leader
        return LeaseHolder(self.asked_voter, 0)

    def _is_answer_overdue(self, now_ms):
        return self.unanswered_since_ms is not None and now_ms - self.unanswered_since_ms > ANSWER_TIMEOUT_MS

    # shutdown

    def leave(self, now_ms: float) -> None:
        """Returns all tokens and releases the lease."""
        self.is_leaving = True
        self.escrow.return_all(now_ms)
        if self.group is not None:
            self.group.release(now_ms)

    @property
    def is_leave_complete(self) -> bool:
        """Whether all tokens are returned and the lease is released."""
        is_holding = self.group is not None and self.group.generation
        return self.is_leaving and self.escrow.is_returned and not is_holding

    # status

    def lines(self, now_ms: float) -> list[str]:
        """Returns status lines of escrow, group and ledger."""
        return quota_lines(self, now_ms)
