"""The environment of scenarios in real time, with real processes."""

import heapq
import time
from itertools import count

from lichenquay.fleet.runtime import boot_ms
from lichenquay.testbed.scale.commands import FailDisk
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.world import ScaleWorld

STEP_S = 0.02


class ProcessEnvironment:
    """A `ScenarioEnvironment` on the processes of a world."""

    def __init__(self, world: ScaleWorld, proposer: Proposer):
        """`world` runs already."""
        self.world, self.proposer, self.shape = world, proposer, world.shape
        self.sequence = count()
        self.scheduled = []  # Heap of (time, sequence number, call, arguments).

    @property
    def now_ms(self):
        """Returns CLOCK_BOOTTIME in milliseconds."""
        return boot_ms()

    def run(self, seconds, progress):
        """Runs until the time is over and no scheduled call is left."""
        started_at_s = time.monotonic()
        while (elapsed_s := time.monotonic() - started_at_s) < seconds or self.scheduled:
            while self.scheduled and self.scheduled[0][0] <= time.monotonic():
                _, _, call, arguments = heapq.heappop(self.scheduled)
                call(*arguments)
            self.world.poll_ready()
            progress(min(elapsed_s, seconds))
            time.sleep(STEP_S)

    def call_later(self, seconds, call, *arguments):
        """Schedules a call by the monotonic clock."""
        heapq.heappush(self.scheduled, (time.monotonic() + seconds, next(self.sequence), call, arguments))

    def set_rate(self, per_s):
        """Sets the client's rate of changes a second."""
        self.proposer.set_rate(per_s)

    def newest_version(self):
        """Returns the highest version that the client knows to be accepted."""
        return self.proposer.newest_version()

    def leader(self):
        """Returns the publisher that reports that it leads, else the one that the client uses."""
        return self.world.leader() or self.proposer.leader

    def kill(self, name, seconds):
        """Sends SIGKILL, and starts the process again later."""
        child = self.world.control[name]
        child.kill()
        self.call_later(seconds, child.start)

    def pause(self, name, seconds):
        """Sends SIGSTOP, and SIGCONT later."""
        child = self.world.control[name]
        child.pause()
        self.call_later(seconds, child.resume)

    def fail_disk(self, name, seconds, full, delay_ms):
        """Makes the disk full or slow by a command."""
        child = self.world.control[name]
        child.send_command(FailDisk(full, delay_ms))
        self.call_later(seconds, self._restore_disk, child)

    def pause_reading(self, names, seconds):
        """Stops the gateways' reading by a command."""
        self.world.read_slowly(names, True)
        self.call_later(seconds, self.world.read_slowly, names, False)

    def impair(self, rules):
        """Sends the rules to every process."""
        self.world.impair(rules)

    def running_among(self, names):
        """Returns those of the gateways that were started and not stopped since."""
        return [name for name in names if name in self.world.running]

    def start_gateways(self, names):
        """Starts the gateways by a command."""
        self.world.start_gateways(names)

    def stop_gateways(self, names):
        """Ends the gateways by a command."""
        self.world.stop_gateways(names)

    def _restore_disk(self, child):
        if child.runs:
            child.send_command(FailDisk())
