"""`sim`: reads the bench's batches on standard input, answers on standard output, ends with the input."""

import sys

from lichenquay.simulator_adapter.adapter import Adapter
from lichenquay.simulator_adapter.codec import Malformed


def main():
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        Adapter(sys.stdin, sys.stdout).run()
    except Malformed as bad:
        print(bad, file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


sys.exit(main())
