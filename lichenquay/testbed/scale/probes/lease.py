"""Measures a replicated group: a record's time, bytes and processor time, and the takeover from a failed
holder.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

from lichenquay.lease.group import LeaseGroup, concatenate
from lichenquay.lease.settings import LeaseSettings
from lichenquay.quota.ledger_records import PiecewiseGroup
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart
from lichenquay.testbed.virtual_network import LinkConditions, VirtualHost, VirtualNetwork

GROUP, LAYER, VOTERS = "scale", "lease", ("voter-a", "voter-b", "voter-c")
DISK_MS = 2.0  # Time of a write to disk.
SETTLE_MS = 12_000.0  # Until the lease is held.
RECORD_TIMEOUT_MS = 3_000.0
SETTINGS = LeaseSettings(
    lease_ms=1_500.0, heartbeat_ms=250.0, retry_ms=100.0, backoff_ms=150.0, max_state_bytes=1 << 20
)
TAKEOVER_RUNS = 5
FAR_ROUND_TRIP_MS = 20.0  # After the partition, in the measurement of a lagging voter.
LAGGING_TAKEOVER_TIMEOUT_MS = 30_000.0
LAGGING_RECORD_BYTES = 15_200  # 20 pieces.
RECORD_BYTES, RECORDS_PER_SIZE = 200, 12
ROUND_TRIP_MS = 2.0  # Where the round trip is not the measured size.


class Voters:
    """Runs three voters with a disk each, one of them the lease holder."""

    def __init__(self, round_trip_ms: float, seed: int, fold: Callable = lambda base, records: b""):
        """Runs until the lease is held; raises RuntimeError where it is not within `SETTLE_MS`."""
        self.fold = fold
        one_way_ms = round_trip_ms / 2
        self.net = VirtualNetwork(
            f"owner/{round_trip_ms}/{seed}", LinkConditions(delay_ms=(one_way_ms, one_way_ms)), lag_ms=0.1
        )
        self.net.after, self.stopwatch, self.disk_bytes = self._after, Stopwatch(), 0
        self.rng = random.Random(f"owner/records/{seed}")
        for name in VOTERS:
            self.net.host(name, self._parts)
        self.net.call(VOTERS[0], LAYER, "set_candidate", True)
        if not self.net.run(SETTLE_MS, lambda: self.group.holds(self.net.now_ms)):
            raise RuntimeError(f"no voter held the lease within {SETTLE_MS:g} ms")

    def _parts(self, host: VirtualHost) -> dict[str, TimedPart]:
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
        """Returns the holder's group."""
        return self.net.hosts[VOTERS[0]].parts[LAYER].part

    def _after(self, host: VirtualHost, layer: str, part: Any) -> None:
        writes, part.store_requests[:] = list(part.store_requests), []
        for number, changes in writes:
            self.disk_bytes += sum(len(key) + len(value or b"") for key, value in changes.items())
            self.net.at(self.net.now_ms + DISK_MS, self.net.call, host.name, layer, "on_stored", number, True)

    def write(self, size: int) -> float | None:
        """Returns the time in ms to commit a record of `size` bytes, in pieces where necessary; None where
        that fails.
        """
        started_ms, ended = self.net.now_ms, []
        with self.stopwatch.running():
            PiecewiseGroup(self.group).append(
                started_ms, self.rng.randbytes(size), lambda at_ms, ok: ended.append((at_ms, ok))
            )
        self.net.call(VOTERS[0], LAYER, "set_candidate", True)
        self.net.run(started_ms + RECORD_TIMEOUT_MS, lambda: bool(ended))
        return ended[0][0] - started_ms if ended and ended[0][1] else None

    def takeover(self, timeout_ms: float = SETTLE_MS) -> float | None:
        """Returns the time from the holder's kill until another voter holds the lease; the others campaign
        from the kill on.
        """
        started_ms = self.net.now_ms
        self.net.kill(VOTERS[0])
        for name in VOTERS[1:]:
            self.net.call(name, LAYER, "set_candidate", True)
        others = [self.net.hosts[name] for name in VOTERS[1:]]
        is_held = self.net.run(
            started_ms + timeout_ms, lambda: any(h.parts[LAYER].holds(h.now_ms()) for h in others)
        )
        return self.net.now_ms - started_ms if is_held else None

    def sent_bytes(self) -> int:
        """Returns the bytes of message bodies that all three have sent."""
        return sum(h.sent_bytes for h in self.net.hosts.values())


def measure_round_trips(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: round trips between voters in milliseconds."""
    samples = []
    for done, size in enumerate(sizes):
        voters, times, disk, sent = Voters(float(size), seed), [], [], []
        for _ in range(RECORDS_PER_SIZE):
            disk_before, sent_before = voters.disk_bytes, voters.sent_bytes()
            elapsed_ms = voters.write(RECORD_BYTES)
            times += [] if elapsed_ms is None else [elapsed_ms]
            disk.append((voters.disk_bytes - disk_before) / len(VOTERS))
            sent.append(voters.sent_bytes() - sent_before)
        samples += [
            Sample(size, "lease.record_made", "ms", tuple(times)),
            Sample(size, "lease.takeover", "ms", measure_takeovers(size, seed)),
            Sample(size, "lease.record_disk", "bytes", tuple(float(x) for x in disk)),
            Sample(size, "lease.record_sent", "bytes", tuple(float(x) for x in sent)),
        ]
        progress((done + 1) / len(sizes))
    return samples


def measure_takeovers(round_trip_ms: int, seed: int) -> tuple[float, ...]:
    """Returns the takeover times of several groups, one takeover each."""
    durations_ms = (Voters(float(round_trip_ms), seed + run).takeover() for run in range(TAKEOVER_RUNS))
    return tuple(ms for ms in durations_ms if ms is not None)


def measure_lagging(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: kilobytes of state that the third voter lacks when the holder is killed.

    The takeover then requires that voter, which has to fetch the state first. A sample has no value where no
    voter holds the lease within `LAGGING_TAKEOVER_TIMEOUT_MS`.
    """
    samples = []
    for done, size in enumerate(sizes):
        voters = Voters(ROUND_TRIP_MS, seed, concatenate)
        voters.net.split([VOTERS[2]], list(VOTERS[:2]))
        for _ in range(max(1, size * 1_000 // LAGGING_RECORD_BYTES)):
            voters.write(LAGGING_RECORD_BYTES)
        voters.net.reset_links(LinkConditions(delay_ms=(FAR_ROUND_TRIP_MS / 2, FAR_ROUND_TRIP_MS / 2)))
        elapsed_ms = voters.takeover(LAGGING_TAKEOVER_TIMEOUT_MS)
        values = () if elapsed_ms is None else (elapsed_ms,)
        samples.append(Sample(size, "lease.lagging_takeover", "ms", values))
        progress((done + 1) / len(sizes))
    return samples


def measure_record_sizes(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: bytes of a record; above one piece (760) it is split, as the quota's
    ledger does.
    """
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
