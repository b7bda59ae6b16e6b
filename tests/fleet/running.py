"""Processes of the real program that a test runs, by name: what is done to them, and what they say."""

import json
import signal
import time


class ProcessGroup:
    """`path`: where each has its log, NAME.log. `running`: {name: process}."""

    def __init__(self, path):
        """None runs yet."""
        self.path, self.running = path, {}

    def end_all(self):
        """None is left behind, not even a stopped one."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # what is done to them

    def signal(self, name, number):
        """One signal."""
        self.running[name].send_signal(number)

    def kill(self, name):
        """Without a word."""
        self.signal(name, signal.SIGKILL)
        self.running[name].wait()

    def pause(self, name, seconds):
        """It stands still for so long."""
        self.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self.signal(name, signal.SIGCONT)

    def leave(self, name, seconds=8.0):
        """In order; its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.running[name].wait(seconds)

    # what they say

    def log(self, name):
        """All of its log."""
        return (self.path / f"{name}.log").read_text()

    def events(self, name, event=None):
        """The JSON lines of its log, in order."""
        got = []
        for line in self.log(name).splitlines():
            if line.startswith("{"):
                said = json.loads(line)
                if event in (None, said["event"]):
                    got.append(said)
        return got

    def status_report(self, name, seconds=3.0):
        """SIGUSR1's lines, as a list of words each."""
        before = len(self.log(name))
        self.signal(name, signal.SIGUSR1)
        until(lambda: "\nstate: " in self.log(name)[before:], seconds)
        return [line.split() for line in self.log(name)[before:].splitlines()]


def until(done, seconds=10.0, pause=0.05):
    """Waits for something that has to come in time."""
    end = time.monotonic() + seconds
    while not done():
        assert time.monotonic() < end, "did not come in time"
        time.sleep(pause)
