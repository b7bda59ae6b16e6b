"""Reads the simulator's batches on standard input and answers on standard output, until the input ends."""

import sys

from lichenquay.simulator_adapter.adapter import Adapter
from lichenquay.simulator_adapter.codec import MalformedInputError


def main() -> int:
    """Runs the adapter; returns the exit code: 1 after malformed input or a closed output, else 0."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        Adapter(sys.stdin, sys.stdout).run()
    except MalformedInputError as error:
        print(error, file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


sys.exit(main())
