"""`run`: one real front, from its start to its exit."""
import os
import sys

from twisted.internet import reactor

from lichenquay.front.service import CannotStart, Service


def main():
    try:
        service = Service(reactor, os.environ)
        service.start()
    except CannotStart as why:
        print(f"lichenquay.front: {why}", file=sys.stderr)
        return 1
    reactor.run()
    service.tell()
    return 0


sys.exit(main())
