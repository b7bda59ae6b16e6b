"""Processes of the real program that a test runs, by name: signals to them, and their logs."""

import json
import signal
import time


class ProcessGroup:
    """A set of named processes. `path` has the log of each, NAME.log; `running` maps names to processes."""

    def __init__(self, path):
        """Starts with no process."""
        self.path, self.running = path, {}

    def end_all(self):
        """Kills and reaps all processes, suspended ones too."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # control

    def signal(self, name, number):
        """Sends a signal to a process."""
        self.running[name].send_signal(number)

    def kill(self, name):
        """Kills a process by SIGKILL and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.running[name].wait()

    def pause(self, name, seconds):
        """Suspends a process by SIGSTOP for some seconds."""
        self.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self.signal(name, signal.SIGCONT)

    def leave(self, name, seconds=8.0):
        """Ends a process by SIGTERM, which is a graceful shutdown; returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.running[name].wait(seconds)

    # output

    def log(self, name):
        """Returns the complete log of a process."""
        return (self.path / f"{name}.log").read_text()

    def events(self, name, event=None):
        """Returns the JSON lines of a process's log in order, all or those of one event.

        A last line that the process is still writing is left for the next call.
        """
        events = []
        for line in self.log(name).splitlines(keepends=True):
            if line.startswith("{") and line.endswith("\n"):
                line_event = json.loads(line)
                if event in (None, line_event["event"]):
                    events.append(line_event)
        return events

    def status_report(self, name, seconds=3.0):
        """Sends SIGUSR1 and returns the lines of the status report, each as a list of words."""
        before = len(self.log(name))
        self.signal(name, signal.SIGUSR1)
        until(lambda: "\nstate: " in self.log(name)[before:], seconds)
        return [line.split() for line in self.log(name)[before:].splitlines()]


def until(condition, seconds=10.0, pause=0.05):
    """Polls until `condition()` holds; fails after `seconds`."""
    deadline_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline_s, f"the condition did not hold within {seconds:g} s"
        time.sleep(pause)
