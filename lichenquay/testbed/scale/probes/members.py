"""What membership costs a front by the number of fronts, in virtual time; how long a kill goes unseen."""

from collections.abc import Sequence
from typing import Any

from lichenquay.membership.member_state import MemberRecord, MemberState
from lichenquay.membership.member_table import MAX_MEMBERS, MemberTable
from lichenquay.testbed.detectors import watch
from lichenquay.testbed.fleetnet import FleetNet, Host, Weather
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart, state_bytes

LOSSES = (0.0, 0.2)
WARM_UP_MS, CALM_MS = 1_500.0, 3_000.0
MAX_LOSSY_SIZE, SHORT_CALM_MS = (
    200,
    1_000.0,
)  # with losses, a larger fleet is measured for less, and not to a detection
DETECTION_TIMEOUT_MS = 30_000.0  # of virtual time in which a killed front has to be seen by all
REPEATED_UP_TO, RUNS = 20, 2  # up to so many fronts, so many runs; else one


class Fleet:
    """So many watches that know each other, one network."""

    def __init__(self, gateways: int, seed: int, loss: float):
        """All are up and know all others, as after a calm start."""
        self.net = FleetNet(f"scale/{gateways}/{seed}/{loss}", Weather(loss=loss))
        self.stopwatch, self.names = Stopwatch(), [f"front-{i:04d}" for i in range(gateways)]
        self.killed_name, self.detected_by = "", set()
        self.net.after = self._after
        for name in self.names:
            self.net.host(name, self._parts, offset_ms=self.net.rng.uniform(0, 1e6))

    def _parts(self, host: Host) -> dict[str, TimedPart]:
        part = watch(host.name, host.incarnation, self.names, host.rng, host.now_ms())
        return {"members": TimedPart(part, self.stopwatch)}

    def _after(self, host: Host, _: str, part: Any) -> None:
        for change in part.changes:
            if change.name == self.killed_name and change.new_state in ("faulty", "removed"):
                self.detected_by.add(host.name)
        part.changes.clear()

    def sent(self) -> tuple[int, int]:
        """Messages and bytes of body so far, of all fronts."""
        hosts = self.net.hosts.values()
        return sum(h.sent for h in hosts), sum(h.sent_bytes for h in hosts)

    def detection_ms(self) -> float | None:
        """From the kill of one front until all others hold it for cut; None where that passes the bound."""
        self.killed_name = self.names[self.net.rng.randrange(len(self.names))]
        killed_at_ms, other_count = self.net.now_ms, len(self.names) - 1
        self.net.kill(self.killed_name)
        seen = self.net.run(killed_at_ms + DETECTION_TIMEOUT_MS, lambda: len(self.detected_by) == other_count)
        return self.net.now_ms - killed_at_ms if seen else None


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: fronts, two at least."""
    samples = []
    for done, size in enumerate(sizes):
        for loss in LOSSES:
            samples += measure_traffic(size, seed, loss)
        samples.append(measure_table_memory(size))
        progress((done + 1) / len(sizes))
    return samples


def measure_traffic(size: int, seed: int, loss: float) -> list[Sample]:
    """Messages, bytes and processor time a front and second in calm; then the time to detect."""
    messages, sizes, spent, detected = [], [], [], []
    short = loss > 0 and size > MAX_LOSSY_SIZE
    calm_ms = SHORT_CALM_MS if short else CALM_MS
    for run in range(RUNS if size <= REPEATED_UP_TO else 1):
        fleet = Fleet(size, seed + run, loss)
        fleet.net.run(WARM_UP_MS)
        fleet.stopwatch.reset()
        sent, sent_bytes = fleet.sent()
        fleet.net.run(WARM_UP_MS + calm_ms)
        gateway_seconds = size * calm_ms / 1_000
        messages.append((fleet.sent()[0] - sent) / gateway_seconds)
        sizes.append((fleet.sent()[1] - sent_bytes) / gateway_seconds)
        spent.append(fleet.stopwatch.spent_ms / gateway_seconds)
        took_ms = None if short else fleet.detection_ms()
        detected += [] if took_ms is None else [took_ms / 1_000]
    name = f"members.lost_{round(100 * loss)}"
    return [
        Sample(size, f"{name}.messages", "1/s", tuple(messages)),
        Sample(size, f"{name}.bytes", "B/s", tuple(sizes)),
        Sample(size, f"{name}.processor", "ms/s", tuple(spent)),
        Sample(size, f"{name}.detect", "s", tuple(detected)),
    ]


def measure_table_memory(size: int) -> Sample:
    """Bytes of a table of so many members, as far as it takes them (`MAX_MEMBERS`)."""

    def fill() -> MemberTable:
        table = MemberTable()
        for i in range(min(size, MAX_MEMBERS)):
            table.apply(0.0, MemberRecord(f"front-{i:04d}", 1, 0, MemberState.ALIVE))
        table.changes.clear()
        return table

    return Sample(size, "members.state", "bytes", (float(state_bytes(fill)[1]),))
