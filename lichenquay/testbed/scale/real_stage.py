"""Real time and real processes, for the player of scenarios."""

import heapq
import time
from itertools import count

from lichenquay.fleet.runtime import boot_ms
from lichenquay.testbed.scale.orders import FailDisk
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.world import World

STEP_S = 0.02


class ProcessEnvironment:
    """A `Stage` on the processes of a world."""

    def __init__(self, world: World, proposer: Proposer):
        """Of a world that runs."""
        self.world, self.proposer, self.shape = world, proposer, world.shape
        self.sequence = count()
        self.scheduled = []  # Heap of (time, order, call, arguments).

    @property
    def now_ms(self):
        """CLOCK_BOOTTIME."""
        return boot_ms()

    def run(self, seconds, progress):
        """Steps until the time is over and nothing is put off."""
        started_at_s = time.monotonic()
        while (elapsed_s := time.monotonic() - started_at_s) < seconds or self.scheduled:
            while self.scheduled and self.scheduled[0][0] <= time.monotonic():
                _, _, call, arguments = heapq.heappop(self.scheduled)
                call(*arguments)
            self.world.poll_ready()
            progress(min(elapsed_s, seconds))
            time.sleep(STEP_S)

    def call_later(self, seconds, call, *arguments):
        """By the monotonic clock."""
        heapq.heappush(self.scheduled, (time.monotonic() + seconds, next(self.sequence), call, arguments))

    def set_rate(self, per_s):
        """Of the client."""
        self.proposer.set_rate(per_s)

    def newest_version(self):
        """By the client."""
        return self.proposer.newest_version()

    def leader(self):
        """Who leads by its own word, else who answered the client last."""
        return self.world.leader() or self.proposer.leader

    def kill(self, name, seconds):
        """SIGKILL."""
        child = self.world.control[name]
        child.kill()
        self.call_later(seconds, child.start)

    def pause(self, name, seconds):
        """SIGSTOP."""
        child = self.world.control[name]
        child.pause()
        self.call_later(seconds, child.resume)

    def fail_disk(self, name, seconds, full, delay_ms):
        """By an order."""
        child = self.world.control[name]
        child.send_command(FailDisk(full, delay_ms))
        self.call_later(seconds, self._restore_disk, child)

    def pause_reading(self, names, seconds):
        """By an order."""
        self.world.read_slowly(names, True)
        self.call_later(seconds, self.world.read_slowly, names, False)

    def impair(self, rules):
        """By an order to every process."""
        self.world.impair(rules)

    def running_among(self, names):
        """Those that were started last."""
        return [name for name in names if name in self.world.running]

    def start_gateways(self, names):
        """By an order."""
        self.world.start_gateways(names)

    def stop_gateways(self, names):
        """By an order."""
        self.world.stop_gateways(names)

    def _restore_disk(self, child):
        if child.runs:
            child.send_command(FailDisk())
