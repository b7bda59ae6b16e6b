"""Probes: direct pings, indirect probes by other members, and pings relayed for other members.

A probe takes one period (longer while the local health is bad) and starts with a ping. After a quarter, a
second ping is sent and `indirect_probes` members are asked to ping the target; after half, the same with
other members; at the end the probe has failed. At most `MAX_EXTRA_PROBES` probes beside the periodic one and
`MAX_RELAYED_PINGS` relayed pings are in flight.
"""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lichenquay.membership import members_pb2 as pb

if TYPE_CHECKING:
    from lichenquay.membership.failure_detector import FailureDetector

INF = float("inf")
MAX_EXTRA_PROBES = 8
MAX_RELAYED_PINGS = 32
STAGE_END_FRACTIONS = (0.25, 0.5, 1.0)  # Of a probe's duration.
LAST_STAGE = len(STAGE_END_FRACTIONS) - 1
SEQUENCE_NUMBER_MODULUS = 2**32
FIRST_SEQUENCE_NUMBER_BITS = 31


class Probe:
    """A ping that has not been acked, with the state of its indirect probes."""

    __slots__ = (
        "sequence_number",
        "target",
        "sent_ms",
        "duration_ms",
        "stage",
        "stage_ends_ms",
        "helpers",
        "negative_acks",
    )

    def __init__(self, sequence_number: int, target: str, now_ms: float, duration_ms: float, stage: int):
        """Starts at a stage, an index of STAGE_END_FRACTIONS."""
        self.sequence_number = sequence_number
        self.target = target
        self.sent_ms = now_ms
        self.duration_ms = duration_ms
        self.helpers: dict[str, None] = {}  # Members asked for an indirect probe.
        self.negative_acks = 0
        self.enter_stage(stage)

    def enter_stage(self, stage: int) -> None:
        """Enters a stage and computes its end."""
        self.stage = stage
        self.stage_ends_ms = self.sent_ms + self.duration_ms * STAGE_END_FRACTIONS[stage]


class RelayedPing(NamedTuple):
    """A ping on behalf of another member."""

    sequence_number: int
    target: str
    ends_ms: float
    requester: str
    requested_number: int  # The requester's own sequence number.


class AckKind(Enum):
    """The meaning of an ack for this process."""

    UNEXPECTED = "unexpected"
    DIRECT = "direct"  # The target of a probe answered.
    INDIRECT = "indirect"  # A helper reports that the target answered it.
    RELAYED = "relayed"  # The target of a relayed ping answered.
    NEGATIVE = "negative"  # A helper received no answer from the target.


class AckResult(NamedTuple):
    """The meaning of an ack, and the relayed ping that it completes, if any."""

    kind: AckKind
    relayed_ping: RelayedPing | None = None


class Prober:
    """All probes and relayed pings in flight, and the order in which members are probed."""

    def __init__(self, detector: "FailureDetector"):
        """Starts without probes, at a random sequence number."""
        self.detector = detector
        self.table = detector.table
        self.rng = detector.rng
        self.probes: dict[int, Probe] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self._sequence_number = self.rng.getrandbits(FIRST_SEQUENCE_NUMBER_BITS)
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
        """Discards everything in flight: after a pause, acks that arrived meanwhile were not read in time."""
        self.probes.clear()
        self.relayed_pings.clear()

    def next_target(self) -> str | None:
        """Returns the member to be probed in this period, or None if there is no other member.

        The random order is kept from round to round, so that two probes of a member are at most one round
        apart (two if each round had its own order); a new member is inserted at a random position.
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

    def probe(self, target: str, duration_ms: float, single_ping: bool = False) -> None:
        """Starts a probe unless one of this target is in flight or there are too many.

        `single_ping` omits the second ping and the indirect probes.
        """
        if any(probe.target == target for probe in self.probes.values()):
            return
        if len(self.probes) > MAX_EXTRA_PROBES:
            return
        stage = LAST_STAGE if single_ping else 0
        probe = Probe(self._next_sequence_number(), target, self.detector.now_ms, duration_ms, stage)
        self.probes[probe.sequence_number] = probe
        self._ping(probe.sequence_number, target)

    def relay_ping(self, requester: str, requested_number: int, target: str, duration_ms: float) -> bool:
        """Pings a target for another member; returns False if too many relayed pings are in flight."""
        if len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            return False
        number = self._next_sequence_number()
        ends_ms = self.detector.now_ms + duration_ms
        self.relayed_pings[number] = RelayedPing(number, target, ends_ms, requester, requested_number)
        self._ping(number, target)
        return True

    def _next_sequence_number(self) -> int:
        self._sequence_number = (self._sequence_number + 1) % SEQUENCE_NUMBER_MODULUS
        return self._sequence_number

    def _ping(self, sequence_number: int, target: str) -> None:
        ping = pb.Ping(no=sequence_number, name=target)
        self.detector.messenger.send_with_status(target, pb.Message(ping=ping))

    def advance(self, now_ms: float) -> list[Probe]:
        """Ends relayed pings and stages that are due; returns the probes that failed."""
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
        """Completes what an ack answers; returns the meaning of the ack."""
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
