"""Asks the voters, whichever of them publishes: one blocking socket, for the command line and for tests."""

import random
import socket
import time

from google.protobuf.message import DecodeError

from lichenquay.config.distribution_settings import distribution_fingerprint
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import MAX_DATAGRAM_BYTES, Layer, MessageEnvelope

ANSWER_S = 0.4  # for one voter's answer; then the next one is asked
REDIRECT_S = 0.05  # before the next question after `not the leader`: an election may be under way
ANYBODY = ""  # the receiver, of whom only the address is known


class NoAnswerError(Exception):
    """No voter gave a final answer in time. The text is one line."""


class Client:
    """A context. `voters`: [(host, port)]."""

    def __init__(self, fleet, voters, seconds=10.0, rng=None):
        """`seconds`: for each call."""
        self.voters, self.seconds, self.rng = list(voters), seconds, rng or random.SystemRandom()
        name = f"client-{self.rng.getrandbits(48):012x}"
        layers = {Layer.DISTRIBUTION: distribution_fingerprint(fleet)}
        self.envelope = MessageEnvelope(fleet, 0, name, (), layers)
        self.incarnation = int(time.time() * 1000)
        self.known = {}  # {voter's name: address}, by its answers
        self.socket = socket.socket(_family(self.voters), socket.SOCK_DGRAM)

    def __enter__(self):
        """Itself."""
        return self

    def __exit__(self, *_):
        """The socket is closed."""
        self.socket.close()

    def propose(self, entries, request=None):
        """The publisher's `Proposed`, ACCEPTED or REFUSED. NoAnswerError: it may have been made or not.

        A repeat goes with the same request number, so that the change is made once.
        """
        request = request or self.rng.getrandbits(63) + 1
        question = pb.Message(propose=pb.Propose(request=request, entries=entries))
        return self._ask(question, request, _final_outcome)

    def status(self):
        """The publisher's `Status`. Errors: NoAnswerError."""
        request = self.rng.getrandbits(63) + 1
        question = pb.Message(status_request=pb.StatusRequest(request=request))
        return self._ask(question, request, _status)

    def _ask(self, question, request, final):
        """One voter after the other, until `final(message)` gives something."""
        end = time.monotonic() + self.seconds
        turn, target, last = 0, self.voters[0], "nobody answered"
        while time.monotonic() < end:
            self._send(question, target)
            message = self._answer(request, min(end, time.monotonic() + ANSWER_S))
            answer = None if message is None else final(message)
            if answer is not None:
                return answer
            if message is not None:
                last = _why(message)
                time.sleep(min(REDIRECT_S, max(0.0, end - time.monotonic())))
            turn += 1
            target = self._leader(message) or self.voters[turn % len(self.voters)]
        raise NoAnswerError(f"no final answer within {self.seconds:g} s: {last}")

    def _leader(self, message):
        """Where the leader is that an answer names, if that is known by now."""
        if message is None or message.WhichOneof("kind") != "not_leader":
            return None
        return self.known.get(message.not_leader.leader)

    def _send(self, message, address):
        data = self.envelope.seal(self.incarnation, ANYBODY, Layer.DISTRIBUTION, message.SerializeToString())
        try:
            self.socket.sendto(data, address)
        except OSError:  # as good as lost
            return

    def _answer(self, request, until):
        """The next message on this request, None if none comes in time."""
        while (left_s := until - time.monotonic()) > 0:
            self.socket.settimeout(left_s)
            try:
                data, address = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                name, _, _, body = self.envelope.open(data)
                message = pb.Message.FromString(body)
            except (OSError, DroppedDatagramError, DecodeError):
                continue
            self.known[name] = address
            if request in _requests_of(message):
                return message
        return None


def _family(voters):
    return socket.AF_INET6 if any(":" in host for host, _ in voters) else socket.AF_INET


def _requests_of(message):
    """The request numbers that a message may answer."""
    body = getattr(message, message.WhichOneof("kind") or "unknown")
    return {getattr(body, "request", 0), getattr(body, "session", 0)} - {0}


def _final_outcome(message):
    final = message.proposed.outcome in (pb.Proposed.ACCEPTED, pb.Proposed.REFUSED)
    return message.proposed if message.HasField("proposed") and final else None


def _status(message):
    return message.status if message.HasField("status") else None


def _why(message):
    """An answer that is not final, in words."""
    if message.HasField("not_leader"):
        return f"the leader is {message.not_leader.leader or 'not known'}"
    return message.proposed.reason or "no outcome yet"
