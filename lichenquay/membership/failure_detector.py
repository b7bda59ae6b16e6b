"""Membership of one process: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018).

No I/O: the host calls `on_message` for each message and `tick` at `due_ms` or later, and after each call
sends and empties `outbox` and applies `changes`. Times are milliseconds of the host's monotonic clock.
No safety property depends on the states here; they only determine which members are contacted first.
docs/design/membership.md describes the protocol, its rationale and the measurements.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.anti_entropy import AntiEntropy
from lichenquay.membership.errors import InvalidMemberError
from lichenquay.membership.gossip import Gossip
from lichenquay.membership.local_health import LocalHealth
from lichenquay.membership.member_state import MemberRecord, MemberState, MemberSummary, StateChange, View
from lichenquay.membership.member_table import MemberTable
from lichenquay.membership.message_format import MAX_INCARNATION, is_valid_name
from lichenquay.membership.message_handling import MessageHandler
from lichenquay.membership.messenger import Messenger
from lichenquay.membership.own_membership import OwnMembership
from lichenquay.membership.probing import Prober
from lichenquay.membership.settings import Settings
from lichenquay.membership.suspicion import Suspicion

INF = float("inf")
LEAVE_ROUNDS = 4
LEAVE_FANOUT = 16
LEAVE_ROUNDS_PER_PERIOD = 4
JOIN_FANOUT = 3
PROBES_AFTER_PAUSE = 8
ISOLATION_TIMEOUTS = 2  # Suspicion timeouts without any ack until this member declares itself faulty.
MAX_REMOVAL_JITTER = 1.1
FIRST_PROBE_DELAY_DIVISOR = 5  # The first probe is sent within a fifth of a probe period.
MIN_REACHABLE_PERIODS = 10
REACHABLE_ROUNDS = 3  # Probe rounds without a direct ack until a member counts as unreachable.
ABSENT_PROBES_PER_INTERVAL = 4  # Probes that each absent member receives from all members together.
MAX_MISSED_PROBES = 3


class FailureDetector:
    """The membership protocol of one process: member table, probes and outgoing messages."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        seeds: Iterable[str],
        rng: Random,
        settings: Settings,
        now_ms: float,
    ):
        """Starts as the only known member; `seeds` are names of members to join through.

        Raises InvalidMemberError.
        """
        if not is_valid_name(name) or not 0 < incarnation < MAX_INCARNATION:
            raise InvalidMemberError(
                f"member name {name!r}, incarnation {incarnation}: expected a valid name and an incarnation "
                f"from 1 to {MAX_INCARNATION - 1}"
            )
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.settings = settings
        self.seeds = tuple(sorted(set(seeds) - {name}))
        self.now_ms = now_ms
        self.due_ms = INF
        self.counts = Counter()
        # How this incarnation ended: LEFT or REMOVED; None while it runs. After a removal,
        # `ended_incarnation` is the incarnation that the next one must exceed.
        self.end_reason: MemberState | None = None
        self.ended_incarnation: int | None = None
        self._leave_rounds_left = 0
        self.table = MemberTable()
        self.table.apply(now_ms, MemberRecord(name, incarnation, 0, MemberState.ALIVE))
        self.own = self.table.get(name)
        self._make_components(now_ms)
        self._schedule_first_work(now_ms)
        self._update_due()

    def _make_components(self, now_ms: float) -> None:
        self.health = LocalHealth(now_ms)
        self.messenger = Messenger(self)
        self.gossip = Gossip(self)
        self.anti_entropy = AntiEntropy(self)
        self.prober = Prober(self)
        self.suspicion = Suspicion(self)
        self.own_membership = OwnMembership(self)
        self.message_handler = MessageHandler(self)

    def _schedule_first_work(self, now_ms: float) -> None:
        """Spreads the periodic work of members that start at the same time."""
        settings, rng = self.settings, self.rng
        self.removal_timeout_ms = settings.removal_timeout_ms * rng.uniform(1, MAX_REMOVAL_JITTER)
        self._next_probe_ms = now_ms + rng.uniform(0, settings.probe_period_ms / FIRST_PROBE_DELAY_DIVISOR)
        self._next_absent_probe_ms = now_ms + rng.uniform(0, settings.faulty_probe_interval_ms)
        self.anti_entropy.next_sync_ms = now_ms + rng.uniform(0, settings.sync_interval_ms)

    # State for the host.

    @property
    def outbox(self) -> list[tuple[str, pb.Message]]:
        """Messages that the host sends and removes, each with its receiver's name."""
        return self.messenger.outbox

    @property
    def changes(self) -> list[StateChange]:
        """State changes that the host applies and removes, in the order of their view numbers."""
        return self.table.changes

    @property
    def view(self) -> View:
        """The current view."""
        return self.table.view

    @property
    def is_leaving(self) -> bool:
        """Whether this member is leaving and still notifies the others."""
        return self._leave_rounds_left > 0

    def members(self) -> list[MemberSummary]:
        """Returns every member ever known, sorted by name."""
        return self.table.summaries()

    def state_of(self, name: str) -> MemberState | None:
        """Returns a member's state, or None if the member is unknown."""
        member = self.table.get(name)
        return None if member is None else member.state

    def other_live_count(self) -> int:
        """Returns the number of other members that are alive or suspect."""
        return len(self.table.live_names()) - self.own.state.is_live

    @property
    def reachable(self) -> list[str]:
        """Names of the members that recently acked this process directly, sorted."""
        periods = max(MIN_REACHABLE_PERIODS, REACHABLE_ROUNDS * len(self.table.live_names()))
        since_ms = self.now_ms - self.settings.probe_period_ms * periods
        return sorted(
            member.name
            for member in self.table.members.values()
            if member.last_direct_response_ms >= since_ms
            and member.missed_probes < MAX_MISSED_PROBES
            and not member.state.is_final
        )

    # Calls by the host.

    def leave(self, now_ms: float) -> None:
        """Leaves the group: notifies the others several times, then sets `end_reason` to LEFT."""
        self._begin_call(now_ms)
        if not self.end_reason and not self.is_leaving:
            self.table.apply(self.now_ms, self.own.with_state(MemberState.LEFT))
            self._leave_rounds_left = LEAVE_ROUNDS
            self._send_leave_round()
        self._update_due()

    def tick(self, now_ms: float) -> None:
        """Runs all periodic work that is due."""
        self._begin_call(now_ms)
        if self.is_leaving:
            if self.now_ms >= self._next_probe_ms:
                self._send_leave_round()
        elif not self.end_reason:
            self._run_due_work()
        self._update_due()

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handles a message; `sender` is the name and incarnation from its envelope.

        Never raises on message content; dropped messages are counted.
        """
        self._begin_call(now_ms)
        if not self.end_reason:
            name, incarnation = sender
            self.message_handler.handle(name, incarnation, message)
        self._update_due()

    def _begin_call(self, now_ms: float) -> None:
        self.now_ms = max(now_ms, self.now_ms)
        late_ms = self.now_ms - self.due_ms
        if not self.end_reason and late_ms > self.settings.max_tick_delay_ms:
            self._on_pause(late_ms)

    def _update_due(self) -> None:
        if self.end_reason:
            self.due_ms = INF
        elif self.is_leaving:
            self.due_ms = self._next_probe_ms
        else:
            self.due_ms = min(
                self._next_probe_ms,
                self._next_absent_probe_ms,
                self.suspicion.next_evaluation_ms,
                self.gossip.next_round_ms,
                self.anti_entropy.next_sync_ms,
                self.prober.due_ms,
                self.own_membership.rejoin_due_ms,
            )

    def _on_pause(self, late_ms: float) -> None:
        """Restarts observation after this process was paused.

        All deadlines have passed and all acks are late, so probes in flight say nothing about other members.
        """
        self.counts["local_pause"] += 1
        self.health.record_pause(self.now_ms)
        self.prober.discard_all()
        self.suspicion.on_pause(late_ms)
        if not self.is_leaving:
            self.probe_random_members(PROBES_AFTER_PAUSE)

    # Periodic work.

    def _run_due_work(self) -> None:
        now_ms = self.now_ms
        for probe in self.prober.advance(now_ms):
            self.suspicion.on_probe_failed(probe)
        if now_ms >= self._next_probe_ms:
            self._run_probe_period()
        if now_ms >= self._next_absent_probe_ms:
            self._probe_one_absent()
        if now_ms >= self.suspicion.next_evaluation_ms:
            self.suspicion.evaluate()
        self.own_membership.rejoin_if_due()
        if now_ms >= self.anti_entropy.next_sync_ms:
            self.anti_entropy.start_sync(now_ms)
        if now_ms >= self.gossip.next_round_ms:
            self.gossip.send_round(now_ms)

    def _run_probe_period(self) -> None:
        period_ms = self.settings.probe_period_ms * self.health.multiplier
        target = self.prober.next_target()
        if target is None:
            self._send_joins()
        else:
            self.prober.probe(target, period_ms)
        if self.table.suspects and self.suspicion.sample_confirming_probe():
            self.prober.probe(self.rng.choice(list(self.table.suspects)), period_ms)
        if self._is_isolated():
            self.counts["isolated"] += 1
            self.own_membership.declare_faulty(self.own.refutation)
        self._next_probe_ms = self.now_ms + self.messenger.jitter(period_ms)

    def _is_isolated(self) -> bool:
        """Returns whether no member has answered for so long that the fault must be on this side."""
        if self.other_live_count() < 2 or self.own.state is not MemberState.ALIVE:
            return False
        return self.health.silence_ms(self.now_ms) > ISOLATION_TIMEOUTS * self.suspicion.timeout_ms()

    def _probe_one_absent(self) -> None:
        """Probes one faulty member or sends a join to one unknown seed.

        Without this, two parts of a group that consider each other faulty would never merge again, and
        members that each consider themselves faulty would wait for an ack that none of them requests.
        """
        faulty = [name for name in self.table.faulty if name != self.name]
        absent = faulty + [name for name in self.seeds if self.table.get(name) is None]
        if absent:
            name = self.rng.choice(sorted(absent))
            if self.table.get(name) is None:
                self.messenger.send(name, pb.Message(join=pb.Join()))
            else:
                self.prober.probe(name, self.settings.probe_period_ms, single_ping=True)
        probes_per_interval = ABSENT_PROBES_PER_INTERVAL * max(1, len(absent))
        factor = max(1, len(self.table.live_names()) / probes_per_interval)
        interval_ms = self.messenger.jitter(self.settings.faulty_probe_interval_ms) * factor
        self._next_absent_probe_ms = self.now_ms + interval_ms

    def _send_joins(self) -> None:
        for name in self.rng.sample(self.seeds, min(JOIN_FANOUT, len(self.seeds))):
            self.messenger.send(name, pb.Message(join=pb.Join()))

    def _send_leave_round(self) -> None:
        for name in self.messenger.sample_live(LEAVE_FANOUT):
            self.messenger.send(name, pb.Message(leave=pb.Leave()))
        self._leave_rounds_left -= 1
        delay_ms = self.settings.probe_period_ms / LEAVE_ROUNDS_PER_PERIOD
        self._next_probe_ms = self.now_ms + self.messenger.jitter(delay_ms)
        if not self._leave_rounds_left:
            self.end_reason = MemberState.LEFT

    def probe_random_members(self, count: int) -> None:
        """Probes up to `count` random live members immediately."""
        for name in self.messenger.sample_live(count):
            self.prober.probe(name, self.settings.probe_period_ms)
