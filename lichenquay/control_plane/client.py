"""Client that finds the publishing voter over one blocking socket, for the command line and tests."""

import random
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Self

from google.protobuf.message import DecodeError

from lichenquay.config.distribution_settings import distribution_fingerprint
from lichenquay.control_plane.errors import NoAnswerError, NoVotersError
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import MAX_DATAGRAM_BYTES, Layer, MessageEnvelope

DEFAULT_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 0.4  # For one voter, after which the next one is asked.
REDIRECT_DELAY_S = 0.05  # After an answer that is not final: an election may be in progress.
REQUEST_NUMBER_BITS = 63
CLIENT_NUMBER_BITS = 48
ANY_RECEIVER = ""  # The receiver is known by its address only, not by its name.
NO_ANSWER = "no voter answered"
FINAL_OUTCOMES = (pb.Proposed.ACCEPTED, pb.Proposed.REFUSED)

Address = tuple[str, int]


class Request(NamedTuple):
    """A message to the voters, and how to read the final answer to it.

    `read_final(message)` returns the final answer, or None if the message has none.
    """

    number: int
    message: pb.Message
    read_final: Callable[[pb.Message], pb.Proposed | pb.Status | None]


class Client:
    """Context manager that sends requests to the voters; leaving the context closes the socket."""

    def __init__(
        self,
        fleet: str,
        voters: Iterable[Address],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        rng: random.Random | None = None,
    ):
        """Opens a socket.

        fleet: the fleet's name. voters: the (host, port) of some voters or all. timeout_s: for each call, in
        seconds. rng: source of the client's name and of request numbers. Raises NoVotersError.
        """
        self.voters = list(voters)
        if not self.voters:
            raise NoVotersError("no voters: a client needs the address of at least one")
        self.timeout_s = timeout_s
        self.rng = rng or random.SystemRandom()
        name = f"client-{self.rng.getrandbits(CLIENT_NUMBER_BITS):012x}"
        layers = {Layer.DISTRIBUTION: distribution_fingerprint(fleet)}
        self.envelope = MessageEnvelope(fleet, 0, name, (), layers)
        self.incarnation = int(time.time() * 1000)
        self.address_by_voter: dict[str, Address] = {}  # Learned from received datagrams.
        self.socket = socket.socket(_address_family(self.voters), socket.SOCK_DGRAM)

    def __enter__(self) -> Self:
        """Returns the client itself."""
        return self

    def __exit__(self, *_) -> None:
        """Closes the socket."""
        self.socket.close()

    def propose(self, entries: Sequence[pb.Entry], request: int | None = None) -> pb.Proposed:
        """Proposes a change; returns the publisher's answer, ACCEPTED or REFUSED.

        A retry has the same `request` number, the idempotency key, so that the change is made once. Raises
        NoAnswerError; the change may then have been made or not.
        """
        number = request or self._new_request_number()
        message = pb.Message(propose=pb.Propose(request=number, entries=entries))
        return self._call(Request(number, message, _read_final_outcome))

    def status(self) -> pb.Status:
        """Returns the publisher's status. Raises NoAnswerError."""
        number = self._new_request_number()
        message = pb.Message(status_request=pb.StatusRequest(request=number))
        return self._call(Request(number, message, _read_status))

    def _new_request_number(self):
        return self.rng.getrandbits(REQUEST_NUMBER_BITS) + 1

    def _call(self, request):
        """Asks one voter after the other until an answer is final."""
        deadline_s = time.monotonic() + self.timeout_s
        attempts = 0
        target = self.voters[0]
        last_problem = NO_ANSWER
        while time.monotonic() < deadline_s:
            self._send(request.message, target)
            message = self._receive(request.number, min(deadline_s, time.monotonic() + ANSWER_TIMEOUT_S))
            final_answer = None if message is None else request.read_final(message)
            if final_answer is not None:
                return final_answer
            if message is not None:
                last_problem = _describe_problem(message)
                time.sleep(min(REDIRECT_DELAY_S, max(0.0, deadline_s - time.monotonic())))
            attempts += 1
            target = self._leader_address(message) or self.voters[attempts % len(self.voters)]
        raise NoAnswerError(f"no final answer within {self.timeout_s:g} s: {last_problem}")

    def _leader_address(self, message):
        """Returns the address of the leader that an answer names, or None if it is not known."""
        if message is None or message.WhichOneof("kind") != "not_leader":
            return None
        return self.address_by_voter.get(message.not_leader.leader)

    def _send(self, message, address):
        data = self.envelope.seal(
            self.incarnation, ANY_RECEIVER, Layer.DISTRIBUTION, message.SerializeToString()
        )
        try:
            self.socket.sendto(data, address)
        except OSError:
            return  # Treated as a lost datagram: the next voter is asked.

    def _receive(self, request_number, deadline_s):
        """Returns the next answer to a request, or None if there is none before the deadline."""
        while (left_s := deadline_s - time.monotonic()) > 0:
            self.socket.settimeout(left_s)
            try:
                data, address = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                name, _, _, body = self.envelope.open(data)
                message = pb.Message.FromString(body)
            except (OSError, DroppedDatagramError, DecodeError):
                continue
            self.address_by_voter[name] = address
            if request_number in _request_numbers_of(message):
                return message
        return None


def _address_family(addresses):
    has_ipv6 = any(":" in host for host, _ in addresses)
    return socket.AF_INET6 if has_ipv6 else socket.AF_INET


def _request_numbers_of(message):
    """Returns the request numbers that a message may answer; `not_leader` has the number in `session`."""
    body = getattr(message, message.WhichOneof("kind") or "unknown")
    return {getattr(body, "request", 0), getattr(body, "session", 0)} - {0}


def _read_final_outcome(message):
    is_final = message.HasField("proposed") and message.proposed.outcome in FINAL_OUTCOMES
    return message.proposed if is_final else None


def _read_status(message):
    return message.status if message.HasField("status") else None


def _describe_problem(message):
    """Returns why an answer is not final."""
    if message.HasField("not_leader"):
        return f"the leader is {message.not_leader.leader or 'not known'}"
    return message.proposed.reason or "no outcome yet"
