"""Entry point of a gateway process: the `run` command of `deploy/balancer.toml`."""

from lichenquay.process import block_signals, run_service

# A signal during the start (a third of a second of imports, then the listener) must not end the process
# without an answer. From this first line on signals wait, until `Service.run` installs its handlers.
block_signals()

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from twisted.internet import reactor  # noqa: E402

from lichenquay.gateway.configuration import StartError  # noqa: E402
from lichenquay.gateway.service import Service  # noqa: E402

# The reactor's own clock is the wall's: where that steps back an hour, nothing due would happen for an hour.
reactor.seconds = time.monotonic
sys.exit(run_service("lichenquay.gateway", reactor, lambda: Service(reactor, os.environ), StartError))
