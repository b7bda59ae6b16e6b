"""Real time and real processes, for the player of scenarios."""

import heapq
import time
from itertools import count

from lichenquay.fleet.runtime import boot_ms
from lichenquay.testbed.scale.commands import FailDisk
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.world import World

STEP_S = 0.02


class RealStage:
    """A `Stage` on the processes of a world."""

    def __init__(self, world: World, proposer: Proposer):
        """Of a world that runs."""
        self.world, self.proposer, self.shape = world, proposer, world.shape
        self.order = count()
        self.put_off = []  # Heap of (time, order, call, arguments).

    @property
    def now_ms(self):
        """CLOCK_BOOTTIME."""
        return boot_ms()

    def run(self, seconds, progress):
        """Steps until the time is over and nothing is put off."""
        begun_s = time.monotonic()
        while (elapsed_s := time.monotonic() - begun_s) < seconds or self.put_off:
            while self.put_off and self.put_off[0][0] <= time.monotonic():
                _, _, call, arguments = heapq.heappop(self.put_off)
                call(*arguments)
            self.world.look_ready()
            progress(min(elapsed_s, seconds))
            time.sleep(STEP_S)

    def later(self, seconds, call, *arguments):
        """By the monotonic clock."""
        heapq.heappush(self.put_off, (time.monotonic() + seconds, next(self.order), call, arguments))

    def set_rate(self, per_s):
        """Of the client."""
        self.proposer.set_rate(per_s)

    def newest(self):
        """By the client."""
        return self.proposer.newest()

    def leader(self):
        """Who leads by its own word, else who answered the client last."""
        return self.world.leader() or self.proposer.leader

    def kill(self, name, seconds):
        """SIGKILL."""
        child = self.world.control[name]
        child.kill()
        self.later(seconds, child.start)

    def pause(self, name, seconds):
        """SIGSTOP."""
        child = self.world.control[name]
        child.pause()
        self.later(seconds, child.go_on)

    def fail_disk(self, name, seconds, full, delay_ms):
        """By an order."""
        child = self.world.control[name]
        child.tell(FailDisk(full, delay_ms))
        self.later(seconds, self._mend_disk, child)

    def silence(self, names, seconds):
        """By an order."""
        self.world.read_slowly(names, True)
        self.later(seconds, self.world.read_slowly, names, False)

    def impair(self, rules):
        """By an order to every process."""
        self.world.impair(rules)

    def up(self, names):
        """Those that were started last."""
        return [name for name in names if name in self.world.running]

    def start_fronts(self, names):
        """By an order."""
        self.world.start_fronts(names)

    def stop_fronts(self, names):
        """By an order."""
        self.world.stop_fronts(names)

    def _mend_disk(self, child):
        if child.runs:
            child.tell(FailDisk())
