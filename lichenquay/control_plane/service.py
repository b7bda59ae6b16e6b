"""The phases of a control process, and its signals."""

import signal
import sys
from collections.abc import Sequence
from enum import StrEnum

from lichenquay.config.control_settings import VOTER
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_control, read_file
from lichenquay.control_plane.errors import CannotStartError
from lichenquay.control_plane.relay_runtime import RelayRuntime
from lichenquay.control_plane.runtime import ControlRuntime
from lichenquay.control_plane.voter_runtime import VoterRuntime
from lichenquay.process import install_signal_handlers

LEAVE_CHECK_INTERVAL_S = 0.02


class ControlPlanePhase(StrEnum):
    """The phase of a control process between its start and its exit."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    ENDED = "ended"


def make_runtime(reactor, process_settings) -> ControlRuntime:
    """Returns the runtime of the role that a checked settings file names."""
    runtime_type = VoterRuntime if process_settings.control.role == VOTER else RelayRuntime
    return runtime_type(reactor, process_settings)


class ControlPlaneService:
    """Reads the settings, and runs the process that they describe."""

    def __init__(self, reactor, arguments: Sequence[str]):
        """Reads the settings. arguments: only the path of the settings file. Raises CannotStartError."""
        if len(arguments) != 1:
            raise CannotStartError(f"expected one argument, the settings file, not {len(arguments)}")
        try:
            process_settings = read_file(arguments[0], read_control)
        except ConfigurationError as error:
            raise CannotStartError(str(error)) from None
        self.reactor = reactor
        self.phase = ControlPlanePhase.STARTING
        self.runtime = make_runtime(reactor, process_settings)

    def start(self) -> None:
        """Opens folder and socket; schedules `run` for when the reactor runs. Raises CannotStartError."""
        problem = self.runtime.open()
        if problem:
            raise CannotStartError(problem)
        self.reactor.callWhenRunning(self.run)

    def run(self) -> None:
        """Starts to serve and to handle signals."""
        handlers = {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGUSR1: self.log_counters,
            signal.SIGHUP: self.log_settings_unchanged,
        }
        install_signal_handlers(self.reactor, handlers)
        self.runtime.begin()
        self.phase = ControlPlanePhase.SERVING

    def leave(self) -> None:
        """Starts a graceful shutdown (SIGTERM, SIGINT); a second signal changes nothing."""
        if self.phase == ControlPlanePhase.SERVING:
            self.phase = ControlPlanePhase.LEAVING
            self.runtime.leave()
            self.stop_when_over()

    def stop_when_over(self) -> None:
        """Ends the process once the runtime has released everything; until then, checks repeatedly."""
        if not self.runtime.is_leave_complete():
            self.reactor.callLater(LEAVE_CHECK_INTERVAL_S, self.stop_when_over)
            return
        self.phase = ControlPlanePhase.ENDED
        self.runtime.close()
        self.reactor.stop()

    def log_counters(self) -> None:
        """Prints counters and what is in force to standard error, one per line (SIGUSR1)."""
        for line in [*self.runtime.lines(), f"state: {self.phase}"]:
            print(line, file=sys.stderr, flush=True)

    def log_settings_unchanged(self) -> None:
        """Logs that settings apply from the next start only (SIGHUP)."""
        self.runtime.log.warning(
            "settings", reason="settings are read at startup only; restart the process to apply changes"
        )
