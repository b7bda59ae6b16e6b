"""Runs one control process: `python -m lichenquay.control_plane FILE`."""

from lichenquay.process import block_signals, run_service

block_signals()

import sys  # noqa: E402
import time  # noqa: E402

from twisted.internet import reactor  # noqa: E402

from lichenquay.control_plane.service import CannotStartError, ControlPlaneService  # noqa: E402

# The reactor uses the wall clock by default; setting it back by an hour would delay all timers by an hour.
reactor.seconds = time.monotonic
sys.exit(
    run_service(
        "lichenquay.control_plane",
        reactor,
        lambda: ControlPlaneService(reactor, sys.argv[1:]),
        CannotStartError,
    )
)
