"""What a replicated group costs: a record's time, bytes, processor time; taking over from a dead holder."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from lichenquay.lease.group import LeaseGroup, concatenate
from lichenquay.lease.settings import LeaseSettings
from lichenquay.quota.ledger_records import PiecewiseGroup
from lichenquay.testbed.fleetnet import FleetNet, Host, Weather
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart

GROUP, LAYER, VOTERS = "scale", "lease", ("voter-a", "voter-b", "voter-c")
DISK_MS = 2.0  # from a record's writing to its being on disk
SETTLE_MS, RECORD_TIMEOUT_MS = 12_000.0, 3_000.0  # until the group is held; most for one record
SETTINGS = LeaseSettings(
    lease_ms=1_500.0, heartbeat_ms=250.0, retry_ms=100.0, backoff_ms=150.0, max_state_bytes=1 << 20
)
TAKEOVER_RUNS = 5
FAR_ROUND_TRIP_MS, LAGGING_TAKEOVER_TIMEOUT_MS = (
    20.0,
    30_000.0,
)  # with a voter behind; most for a takeover then
LAGGING_RECORD_BYTES = 15_200  # bytes: 20 pieces
RECORD_BYTES, RECORDS_PER_SIZE = 200, 12
ROUND_TRIP_MS = 2.0  # where the size is the record's


class Voters:
    """Three voters and a disk each, one of them the holder."""

    def __init__(self, round_trip_ms: float, seed: int, fold: Callable = lambda base, records: b""):
        """Runs until the group is held; raises RuntimeError where it is not within `SETTLE_MS`."""
        self.fold = fold
        half = round_trip_ms / 2
        self.net = FleetNet(f"owner/{round_trip_ms}/{seed}", Weather(delay_ms=(half, half)), lag_ms=0.1)
        self.net.after, self.stopwatch, self.disk_bytes = self._after, Stopwatch(), 0
        self.rng = random.Random(f"owner/records/{seed}")
        for name in VOTERS:
            self.net.host(name, self._parts)
        self.net.call(VOTERS[0], LAYER, "set_candidate", True)
        if not self.net.run(SETTLE_MS, lambda: self.group.holds(self.net.now_ms)):
            raise RuntimeError("the group was not held in time")

    def _parts(self, host: Host) -> dict[str, TimedPart]:
        group = LeaseGroup(
            GROUP,
            host.name,
            host.incarnation,
            VOTERS,
            host.rng,
            SETTINGS,
            host.now_ms(),
            {},
            is_new_disk=True,
            fold=self.fold,
        )
        return {LAYER: TimedPart(group, self.stopwatch)}

    @property
    def group(self) -> LeaseGroup:
        """The holder's part."""
        return self.net.hosts[VOTERS[0]].parts[LAYER].part

    def _after(self, host: Host, layer: str, part: Any) -> None:
        wanted, part.store_requests[:] = list(part.store_requests), []
        for number, changes in wanted:
            self.disk_bytes += sum(len(key) + len(value or b"") for key, value in changes.items())
            self.net.at(self.net.now_ms + DISK_MS, self.net.call, host.name, layer, "on_stored", number, True)

    def write(self, size: int) -> float | None:
        """Time until a record of so many bytes is made, in pieces where need be; None where that fails."""
        started_ms, ended = self.net.now_ms, []
        with self.stopwatch.running():
            PiecewiseGroup(self.group).append(
                started_ms, self.rng.randbytes(size), lambda at_ms, ok: ended.append((at_ms, ok))
            )
        self.net.call(VOTERS[0], LAYER, "set_candidate", True)
        self.net.run(started_ms + RECORD_TIMEOUT_MS, lambda: bool(ended))
        return ended[0][0] - started_ms if ended and ended[0][1] else None

    def takeover(self, bound_ms: float = SETTLE_MS) -> float | None:
        """Time from the holder's kill until another voter holds; the others want it from the kill on."""
        started_ms = self.net.now_ms
        self.net.kill(VOTERS[0])
        for name in VOTERS[1:]:
            self.net.call(name, LAYER, "set_candidate", True)
        others = [self.net.hosts[name] for name in VOTERS[1:]]
        held = self.net.run(
            started_ms + bound_ms, lambda: any(h.parts[LAYER].holds(h.now_ms()) for h in others)
        )
        return self.net.now_ms - started_ms if held else None

    def sent_bytes(self) -> int:
        """Bytes of body that all three have sent."""
        return sum(h.sent_bytes for h in self.net.hosts.values())


def measure_round_trips(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: round trips between voters in milliseconds."""
    samples = []
    for done, size in enumerate(sizes):
        voters, times, disk, sent = Voters(float(size), seed), [], [], []
        for _ in range(RECORDS_PER_SIZE):
            disk_before, sent_before = voters.disk_bytes, voters.sent_bytes()
            took_ms = voters.write(RECORD_BYTES)
            times += [] if took_ms is None else [took_ms]
            disk.append((voters.disk_bytes - disk_before) / len(VOTERS))
            sent.append(voters.sent_bytes() - sent_before)
        samples += [
            Sample(size, "lease.record_made", "ms", tuple(times)),
            Sample(size, "lease.takeover", "ms", takeovers(size, seed)),
            Sample(size, "lease.record_disk", "bytes", tuple(float(x) for x in disk)),
            Sample(size, "lease.record_sent", "bytes", tuple(float(x) for x in sent)),
        ]
        progress((done + 1) / len(sizes))
    return samples


def takeovers(round_trip_ms: int, seed: int) -> tuple[float, ...]:
    """Of several groups, each killed once."""
    took = (Voters(float(round_trip_ms), seed + run).takeover() for run in range(TAKEOVER_RUNS))
    return tuple(ms for ms in took if ms is not None)


def measure_lagging(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: kilobytes of state that the third voter lacks when the holder is killed.

    A takeover then needs that voter, so the state has to be fetched. No value: none held within `LAGGING_MS`.
    """
    samples = []
    for done, size in enumerate(sizes):
        voters = Voters(ROUND_TRIP_MS, seed, concatenate)
        voters.net.split([VOTERS[2]], list(VOTERS[:2]))
        for _ in range(max(1, size * 1_000 // LAGGING_RECORD_BYTES)):
            voters.write(LAGGING_RECORD_BYTES)
        voters.net.mend(Weather(delay_ms=(FAR_ROUND_TRIP_MS / 2, FAR_ROUND_TRIP_MS / 2)))
        took_ms = voters.takeover(LAGGING_TAKEOVER_TIMEOUT_MS)
        values = () if took_ms is None else (took_ms,)
        samples.append(Sample(size, "lease.lagging_takeover", "ms", values))
        progress((done + 1) / len(sizes))
    return samples


def measure_record_sizes(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: bytes of a record; over a piece (760) it is made of several, as the quota's ledger does it."""
    samples = []
    for done, size in enumerate(sizes):
        voters = Voters(ROUND_TRIP_MS, seed)
        voters.stopwatch.reset()
        times = [voters.write(size) for _ in range(RECORDS_PER_SIZE)]
        made_ms = tuple(t for t in times if t is not None)
        spent = voters.stopwatch.spent_ms / RECORDS_PER_SIZE
        samples += [
            Sample(size, "lease.large_record_made", "ms", made_ms),
            Sample(size, "lease.large_record_processor", "ms", (spent,)),
        ]
        progress((done + 1) / len(sizes))
    return samples
