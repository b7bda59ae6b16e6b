"""Probes: direct pings, indirect probes by other members, and pings that are relayed for others.

A probe runs for one period (longer while the local health is bad): a ping; after a quarter another one and
`indirect_probes` members asked to ping; at half the same by other members; at the end it failed. At most
`MAX_EXTRA_PROBES` beside the periodic one and `MAX_RELAYED_PINGS` for others are under way.
"""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lichenquay.membership import members_pb2 as pb

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
MAX_EXTRA_PROBES = 8
MAX_RELAYED_PINGS = 32
STAGE_ENDS = (0.25, 0.5, 1.0)  # Of a probe's length.
LAST_STAGE = len(STAGE_ENDS) - 1
SEQUENCE_NUMBERS = 2**32
FIRST_SEQUENCE_BITS = 31


class Probe:
    """A ping that has not been acked, with what followed from it."""

    __slots__ = (
        "sequence_number",
        "target",
        "sent_ms",
        "length_ms",
        "stage",
        "stage_ends_ms",
        "helpers",
        "negative_acks",
    )

    def __init__(self, sequence_number: int, target: str, now_ms: float, length_ms: float, stage: int):
        """Begin at a stage, an index of STAGE_ENDS."""
        self.sequence_number = sequence_number
        self.target = target
        self.sent_ms = now_ms
        self.length_ms = length_ms
        self.helpers: dict[str, None] = {}  # Members asked for an indirect probe.
        self.negative_acks = 0
        self.enter_stage(stage)

    def enter_stage(self, stage: int) -> None:
        """Go on to a stage, and plan its end."""
        self.stage = stage
        self.stage_ends_ms = self.sent_ms + self.length_ms * STAGE_ENDS[stage]


class RelayedPing(NamedTuple):
    """A ping on behalf of another member."""

    sequence_number: int
    target: str
    ends_ms: float
    requester: str
    requested_number: int  # The requester's own sequence number.


class AckKind(Enum):
    """What an ack means here."""

    UNEXPECTED = "unexpected"
    DIRECT = "direct"  # The target of a probe answered itself.
    INDIRECT = "indirect"  # A helper reports that the target answered it.
    RELAYED = "relayed"  # The target of a relayed ping answered.
    NEGATIVE = "negative"  # A helper had no answer.


class AckResult(NamedTuple):
    """The meaning of an ack, and the relayed ping that it ends, if it does."""

    kind: AckKind
    relayed_ping: RelayedPing | None = None


class Prober:
    """All probes and relayed pings under way, and the order in which members are probed."""

    def __init__(self, detector: "FailureDetector"):
        """Start without a probe, at a random sequence number."""
        self.detector = detector
        self.table = detector.table
        self.rng = detector.rng
        self.probes: dict[int, Probe] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self._sequence_number = self.rng.getrandbits(FIRST_SEQUENCE_BITS)
        self._order: list[str] = []
        self._position = 0
        self._live_names: list[str] | None = None

    @property
    def due_ms(self) -> float:
        """When the next stage or relayed ping ends."""
        next_stage_ms = min((probe.stage_ends_ms for probe in self.probes.values()), default=INF)
        next_relayed_ms = min((ping.ends_ms for ping in self.relayed_pings.values()), default=INF)
        return min(next_stage_ms, next_relayed_ms)

    def discard_all(self) -> None:
        """Forget everything under way: after a pause, acks that arrived meanwhile were not read in time."""
        self.probes.clear()
        self.relayed_pings.clear()

    def next_target(self) -> str | None:
        """Return the member to be probed in this period, None if there is no other.

        The random order is kept from round to round, so that two probes of a member are at most one round
        apart (two if it were drawn afresh); a new member is inserted at a random place.
        """
        live_names = self.table.live_names()
        if live_names is not self._live_names:
            self._update_order(live_names)
        if not self._order:
            return None
        self._position = (self._position + 1) % len(self._order)
        return self._order[self._position]

    def _update_order(self, live_names: list[str]) -> None:
        known = set(self._order)
        still_live = set(live_names)
        self._live_names = live_names
        self._order = [name for name in self._order if name in still_live]
        for name in live_names:
            if name not in known and name != self.detector.name:
                self._order.insert(self.rng.randrange(len(self._order) + 1), name)

    def probe(self, target: str, length_ms: float, single_ping: bool = False) -> None:
        """Begin a probe unless one of this target is under way or there are too many.

        `single_ping` leaves out the second ping and the indirect probes.
        """
        if any(probe.target == target for probe in self.probes.values()):
            return
        if len(self.probes) > MAX_EXTRA_PROBES:
            return
        stage = LAST_STAGE if single_ping else 0
        probe = Probe(self._next_sequence_number(), target, self.detector.now_ms, length_ms, stage)
        self.probes[probe.sequence_number] = probe
        self._ping(probe.sequence_number, target)

    def relay_ping(self, requester: str, requested_number: int, target: str, length_ms: float) -> bool:
        """Ping a target for another member; return False if too many are under way."""
        if len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            return False
        number = self._next_sequence_number()
        ends_ms = self.detector.now_ms + length_ms
        self.relayed_pings[number] = RelayedPing(number, target, ends_ms, requester, requested_number)
        self._ping(number, target)
        return True

    def _next_sequence_number(self) -> int:
        self._sequence_number = (self._sequence_number + 1) % SEQUENCE_NUMBERS
        return self._sequence_number

    def _ping(self, sequence_number: int, target: str) -> None:
        ping = pb.Ping(no=sequence_number, name=target)
        self.detector.messenger.send_with_status(target, pb.Message(ping=ping))

    def advance(self, now_ms: float) -> list[Probe]:
        """End relayed pings and stages that are due; return the probes that failed."""
        self._end_relayed_pings(now_ms)
        failed = []
        for probe in [probe for probe in self.probes.values() if probe.stage_ends_ms <= now_ms]:
            if probe.stage == LAST_STAGE:
                del self.probes[probe.sequence_number]
                failed.append(probe)
            else:
                probe.enter_stage(probe.stage + 1)
                self._ping(probe.sequence_number, probe.target)
                self._request_indirect_probes(probe)
        return failed

    def _end_relayed_pings(self, now_ms: float) -> None:
        for ping in [ping for ping in self.relayed_pings.values() if ping.ends_ms <= now_ms]:
            del self.relayed_pings[ping.sequence_number]
            negative = pb.Ack(no=ping.requested_number, name=ping.target, ok=False)
            self.detector.messenger.send(ping.requester, pb.Message(ack=negative))

    def _request_indirect_probes(self, probe: Probe) -> None:
        messenger = self.detector.messenger
        exclude = (probe.target, *probe.helpers)
        for helper in messenger.sample_live(self.detector.settings.indirect_probes, exclude):
            probe.helpers[helper] = None
            request = pb.PingAsk(no=probe.sequence_number, name=probe.target)
            messenger.send_with_status(helper, pb.Message(ping_ask=request), subject=probe.target)

    def on_ack(self, sender: str, ack: pb.Ack) -> AckResult:
        """End what an ack answers; return what it means."""
        relayed = self.relayed_pings.get(ack.no)
        if relayed and relayed.target == sender == ack.name and ack.ok:
            del self.relayed_pings[ack.no]
            return AckResult(AckKind.RELAYED, relayed)
        probe = self.probes.get(ack.no)
        if probe is None or probe.target != ack.name:
            return AckResult(AckKind.UNEXPECTED)
        is_target = sender == probe.target
        if not is_target and sender not in probe.helpers:
            return AckResult(AckKind.UNEXPECTED)
        if ack.ok:
            del self.probes[ack.no]
            return AckResult(AckKind.DIRECT if is_target else AckKind.INDIRECT)
        if is_target:
            return AckResult(AckKind.UNEXPECTED)
        probe.negative_acks += 1
        return AckResult(AckKind.NEGATIVE)
