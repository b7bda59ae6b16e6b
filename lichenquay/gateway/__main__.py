"""Entry point of a gateway process: the `run` command of `deploy/balancer.toml`."""

from lichenquay.process import block_signals, run_service

# A signal during the start (imports take a third of a second, then the listener opens) must not kill the
# process before it has answered its clients: signals stay blocked from here until `Service.run` installs
# the handlers.
block_signals()

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from twisted.internet import reactor  # noqa: E402

from lichenquay.gateway.configuration import StartError  # noqa: E402
from lichenquay.gateway.service import Service  # noqa: E402

# The reactor's default is the wall clock: if that stepped back an hour, no timer would fire for an hour.
reactor.seconds = time.monotonic
sys.exit(run_service("lichenquay.gateway", reactor, lambda: Service(reactor, os.environ), StartError))
