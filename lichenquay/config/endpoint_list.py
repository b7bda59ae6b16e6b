"""Distributed entries under `engine/`: the endpoint list, one key per engine."""

from google.protobuf.message import DecodeError

from lichenquay.admission.domain import EndpointState
from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.errors import InvalidEndpointError
from lichenquay.config.process_entries import parse_address
from lichenquay.endpoint_record import EndpointRecord

ENGINE_PREFIX = "engine/"
# The marker that all engines have been published once.
COMPLETE_KEY = "config/engines"
COMPLETE = b"complete"
STATES = {pb.ListedEngine.SERVING: EndpointState.SERVING, pb.ListedEngine.DRAINING: EndpointState.DRAINING}
STATE_NUMBERS = {state: number for number, state in STATES.items()}
MAX_WEIGHT = 1e6
MAX_TIME_MS = 1e15


def problem_with_completeness(value: bytes) -> str | None:
    """Why a value is not valid under `COMPLETE_KEY`, or None."""
    return None if value == COMPLETE else f"{COMPLETE_KEY}: {COMPLETE.decode()!r} is all that it can be"


def endpoint_key(record: EndpointRecord) -> str:
    """The key of an engine."""
    return f"{ENGINE_PREFIX}{record.zone}/{record.uid}"


def encode_endpoint(record: EndpointRecord) -> bytes:
    """The value of an engine that is not removed."""
    return pb.ListedEngine(
        address=record.address,
        kind=record.kind,
        cell=record.cell,
        state=STATE_NUMBERS[record.state],
        units=record.advertised_weight,
        started_ms=record.started_ms,
    ).SerializeToString(deterministic=True)


def decode_endpoint(key: str, value: bytes) -> EndpointRecord:
    """The engine that an entry describes. Errors: InvalidEndpointError."""
    zone, separator, uid = key.removeprefix(ENGINE_PREFIX).partition("/")
    if not key.startswith(ENGINE_PREFIX) or not separator or not uid or "/" in uid:
        raise InvalidEndpointError(f"key {key[:64]!r}: not engine/ZONE/UID")
    try:
        listed = pb.ListedEngine.FromString(value)
        parse_address(listed.address)
    except DecodeError:
        raise InvalidEndpointError(f"{key}: no engine's entry") from None
    except ValueError:
        raise InvalidEndpointError(f"{key}: {listed.address[:40]!r} is no address:port") from None
    if listed.state not in STATES:
        raise InvalidEndpointError(f"{key}: in no known state")
    if not 0 <= listed.units <= MAX_WEIGHT or not 0 <= listed.started_ms <= MAX_TIME_MS:
        raise InvalidEndpointError(f"{key}: capacity or time of its start make no sense")
    return EndpointRecord(
        uid=uid,
        address=listed.address,
        zone=zone,
        kind=listed.kind,
        cell=listed.cell,
        state=STATES[listed.state],
        advertised_weight=listed.units,
        started_ms=listed.started_ms,
    )


def problem_with_endpoint(key: str, value: bytes) -> str | None:
    """Why an entry describes no engine, or None."""
    try:
        decode_endpoint(key, value)
    except InvalidEndpointError as error:
        return str(error)
    return None
