"""Values under `engine/`: the list of engines, one key each, as the publisher writes and fronts read it."""

from google.protobuf.message import DecodeError

from lichenquay.admission import domain
from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.fleet_settings import address_of
from lichenquay.endpoint_record import EndpointRecord

ENGINE_PREFIX = "engine/"
COMPLETE_KEY, COMPLETE = "config/engines", b"complete"  # once all engines are published, for the first time
STATES = {
    pb.ListedEngine.SERVING: domain.EndpointState.SERVING,
    pb.ListedEngine.DRAINING: domain.EndpointState.DRAINING,
}
STATE_NUMBERS = {state: number for number, state in STATES.items()}
MOST_UNITS, MOST_TIME_MS = 1e6, 1e15


class BadEngineError(ValueError):
    """An entry that names no engine. The text is one line."""


def fault_of_complete(value):
    """Why this is no word on whether all engines are published, or None."""
    return None if value == COMPLETE else f"{COMPLETE_KEY}: {COMPLETE.decode()!r} is all that it can be"


def key_of(row):
    """The key of an engine."""
    return f"{ENGINE_PREFIX}{row.zone}/{row.uid}"


def value_of(row):
    """What stands under that key; a withdrawn engine has none."""
    return pb.ListedEngine(
        address=row.address,
        kind=row.kind,
        cell=row.cell,
        state=STATE_NUMBERS[row.state],
        units=row.advertised_weight,
        started_ms=row.started_ms,
    ).SerializeToString(deterministic=True)


def row_of(key, value):
    """The engine that an entry names. Errors: BadEngineError."""
    place, separator, uid = key.removeprefix(ENGINE_PREFIX).partition("/")
    if not key.startswith(ENGINE_PREFIX) or not separator or not uid or "/" in uid:
        raise BadEngineError(f"key {key[:64]!r}: not engine/ZONE/UID")
    try:
        listed = pb.ListedEngine.FromString(value)
        host, port = address_of(listed.address)
    except DecodeError:
        raise BadEngineError(f"{key}: no engine's entry") from None
    except ValueError:
        raise BadEngineError(f"{key}: {listed.address[:40]!r} is no address:port") from None
    if listed.state not in STATES:
        raise BadEngineError(f"{key}: in no known state")
    if not 0 <= listed.units <= MOST_UNITS or not 0 <= listed.started_ms <= MOST_TIME_MS:
        raise BadEngineError(f"{key}: capacity or time of its start make no sense")
    state = STATES[listed.state]
    return EndpointRecord(
        uid, listed.address, place, listed.kind, listed.cell, state, listed.units, listed.started_ms
    )


def fault_of_engine(key, value):
    """Why an entry names no engine, or None."""
    try:
        row_of(key, value)
    except BadEngineError as bad:
        return str(bad)
    return None
