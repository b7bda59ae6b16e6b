"""What every test leaves as it found it."""
import signal

import pytest

SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)


@pytest.fixture(autouse=True)
def signal_handlers_restored():
    """Risk: a front started in this process (Service.run) keeps its handlers after its test, so a later test's Ctrl-C
    calls a stopped reactor instead of raising KeyboardInterrupt. Ctrl-C raises it, as on a terminal, whatever the
    runner's parent ignored."""
    kept = {s: signal.getsignal(s) for s in SIGNALS}
    signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    for s, handler in kept.items():
        signal.signal(s, handler)
