"""Measures membership by the number of gateways in virtual time: its cost for a gateway, and the detection
time.
"""

from collections.abc import Sequence
from typing import Any

from lichenquay.membership.member_state import MemberRecord, MemberState
from lichenquay.membership.member_table import MAX_MEMBERS, MemberTable
from lichenquay.testbed.detectors import make_informed_detector
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart, measure_state_bytes
from lichenquay.testbed.virtual_network import LinkConditions, VirtualHost, VirtualNetwork

LOSSES = (0.0, 0.2)
WARM_UP_MS, CALM_MS = 1_500.0, 3_000.0
# With losses, a larger fleet is measured for a shorter time, and its detection time is not measured.
MAX_LOSSY_SIZE, SHORT_CALM_MS = 200, 1_000.0
DETECTION_TIMEOUT_MS = 30_000.0  # Virtual time in which all must detect a killed gateway.
REPEATED_UP_TO, RUNS = 20, 2  # Fleets of at most 20 gateways are measured twice, others once.


class Fleet:
    """Runs the failure detectors of a fleet of gateways on one network."""

    def __init__(self, gateways: int, seed: int, loss: float):
        """Starts all gateways with all others known, as after a start without faults."""
        self.net = VirtualNetwork(f"scale/{gateways}/{seed}/{loss}", LinkConditions(loss=loss))
        self.stopwatch, self.names = Stopwatch(), [f"front-{i:04d}" for i in range(gateways)]
        self.killed_name, self.detected_by = "", set()
        self.net.after = self._after
        for name in self.names:
            self.net.host(name, self._parts, offset_ms=self.net.rng.uniform(0, 1e6))

    def _parts(self, host: VirtualHost) -> dict[str, TimedPart]:
        part = make_informed_detector(host.name, host.incarnation, self.names, host.rng, host.now_ms())
        return {"members": TimedPart(part, self.stopwatch)}

    def _after(self, host: VirtualHost, _: str, part: Any) -> None:
        for change in part.changes:
            if change.name == self.killed_name and change.new_state in ("faulty", "removed"):
                self.detected_by.add(host.name)
        part.changes.clear()

    def sent(self) -> tuple[int, int]:
        """Returns the messages and bytes of bodies that all gateways have sent."""
        hosts = self.net.hosts.values()
        return sum(h.sent for h in hosts), sum(h.sent_bytes for h in hosts)

    def detection_ms(self) -> float | None:
        """Returns the time from the kill of one gateway until all others have it as faulty or removed; None
        after `DETECTION_TIMEOUT_MS`.
        """
        self.killed_name = self.names[self.net.rng.randrange(len(self.names))]
        killed_at_ms, other_count = self.net.now_ms, len(self.names) - 1
        self.net.kill(self.killed_name)
        seen = self.net.run(killed_at_ms + DETECTION_TIMEOUT_MS, lambda: len(self.detected_by) == other_count)
        return self.net.now_ms - killed_at_ms if seen else None


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: gateways, at least two."""
    samples = []
    for done, size in enumerate(sizes):
        for loss in LOSSES:
            samples += measure_traffic(size, seed, loss)
        samples.append(measure_table_memory(size))
        progress((done + 1) / len(sizes))
    return samples


def measure_traffic(size: int, seed: int, loss: float) -> list[Sample]:
    """Measures messages, bytes and processor time of a gateway a second without faults, then the detection
    time.
    """
    messages, sizes, spent, detected = [], [], [], []
    is_shortened = loss > 0 and size > MAX_LOSSY_SIZE
    calm_ms = SHORT_CALM_MS if is_shortened else CALM_MS
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
        elapsed_ms = None if is_shortened else fleet.detection_ms()
        detected += [] if elapsed_ms is None else [elapsed_ms / 1_000]
    name = f"members.lost_{round(100 * loss)}"
    return [
        Sample(size, f"{name}.messages", "1/s", tuple(messages)),
        Sample(size, f"{name}.bytes", "B/s", tuple(sizes)),
        Sample(size, f"{name}.processor", "ms/s", tuple(spent)),
        Sample(size, f"{name}.detect", "s", tuple(detected)),
    ]


def measure_table_memory(size: int) -> Sample:
    """Returns the bytes of a table of `size` members, up to `MAX_MEMBERS`."""

    def fill() -> MemberTable:
        table = MemberTable()
        for i in range(min(size, MAX_MEMBERS)):
            table.apply(0.0, MemberRecord(f"front-{i:04d}", 1, 0, MemberState.ALIVE))
        table.changes.clear()
        return table

    return Sample(size, "members.state", "bytes", (float(measure_state_bytes(fill)[1]),))
