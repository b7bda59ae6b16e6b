"""The phases of a control process, and its signals."""

import signal
import sys

from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_control, read_file
from lichenquay.control_plane.runtime import control_of
from lichenquay.process import install_signal_handlers

STARTING, SERVING, LEAVING, ENDED = "starting", "serving", "leaving", "ended"
LOOK_S = 0.02  # between two looks at whether leaving is over


class CannotStartError(Exception):
    """Something that the process needs is missing; the text names it, in one line."""


class Service:
    """Reads the settings, and runs what they speak of."""

    def __init__(self, reactor, arguments):
        """`arguments`: the settings file alone. Errors: CannotStartError."""
        if len(arguments) != 1:
            raise CannotStartError("one settings file is wanted")
        try:
            said = read_file(arguments[0], read_control)
        except ConfigurationError as bad:
            raise CannotStartError(str(bad)) from None
        self.reactor, self.state = reactor, STARTING
        self.host = control_of(reactor, said)

    def start(self):
        """Folder and socket are had, or CannotStartError; the rest follows once the reactor runs."""
        why = self.host.open()
        if why:
            raise CannotStartError(why)
        self.reactor.callWhenRunning(self.run)

    def run(self):
        """Serves, and hears signals."""
        calls = {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGUSR1: self.log_counters,
            signal.SIGHUP: self.tell_settings_stay,
        }
        install_signal_handlers(self.reactor, calls)
        self.host.begin()
        self.state = SERVING

    def leave(self):
        """In order; a second signal changes nothing."""
        if self.state == SERVING:
            self.state = LEAVING
            self.host.leave()
            self.end_when_over()

    def end_when_over(self):
        """Looks until the host has said all that it had to."""
        if not self.host.is_over():
            self.reactor.callLater(LOOK_S, self.end_when_over)
            return
        self.state = ENDED
        self.host.close()
        self.reactor.stop()

    def log_counters(self):
        """SIGUSR1: counters and what is in force, as lines on standard error."""
        for line in [*self.host.lines(), f"state: {self.state}"]:
            print(line, file=sys.stderr, flush=True)

    def tell_settings_stay(self):
        """SIGHUP: voters, relays and addresses count from the next start."""
        self.host.log.warning("settings", why="read at the start only")
