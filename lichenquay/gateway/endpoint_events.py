"""Encodes polls of the discovery service and reads the endpoint list from its answers, as PROTOCOL defines.

Performs no I/O. Wire names are translated here and are not used elsewhere.
"""

from typing import Any, NamedTuple

from lichenquay.admission import domain
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway.errors import GatewayError
from lichenquay.gateway.http import encode_request

STATES_BY_WIRE_NAME = {
    "SERVING": domain.EndpointState.SERVING,
    "DRAINING": domain.EndpointState.DRAINING,
    "DELETED": domain.EndpointState.REMOVED,
}
MAX_PORT = 65_535
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class EndpointListError(GatewayError, ValueError):
    """An answer or event is invalid; the text states the reason."""


class EndpointUpdate(NamedTuple):
    """The records in one event: the complete endpoint list (`is_whole`), or the engines that changed."""

    is_whole: bool
    records: list[EndpointRecord]


class EndpointEvent(NamedTuple):
    """A watch event; event numbers increase."""

    number: int
    endpoints: EndpointUpdate


class EndpointEvents(NamedTuple):
    """An answer: the number of the latest event, and the requested events in order."""

    last_number: int
    events: list[EndpointEvent]


def encode_poll(host: str, after: int, wait_ms: int) -> bytes:
    """Encodes a long poll for the events after number `after`, which waits at most `wait_ms` for one."""
    return encode_request("GET", f"/bulletins?after={after}&patience={wait_ms}", host)


def _read_record(target):
    host, _, port = target["endpoint"].rpartition(":")
    if target["state"] not in STATES_BY_WIRE_NAME or not host or not 0 < int(port) <= MAX_PORT:
        raise EndpointListError(f"engine {target['uid']!r}: its state or address is not valid")
    return EndpointRecord(
        uid=str(target["uid"]),
        address=f"{host}:{int(port)}",
        zone=str(target.get("az", "")),
        kind=str(target.get("model", "")),
        cell=int(target.get("pod_group") or 0),
        state=STATES_BY_WIRE_NAME[target["state"]],
        advertised_weight=float(target.get("capacity_hint", 1.0)),
        started_ms=float(target.get("boot_ms") or 0),
    )


def read_endpoint_update(item: Any) -> EndpointUpdate:
    """Reads the records of one event, parsed from JSON. Errors: EndpointListError."""
    try:
        roster = item["roster"]
        records = [_read_record(target) for target in roster["targets"]]
        return EndpointUpdate(bool(roster["all"]), records)
    except PARSE_ERRORS as error:
        raise EndpointListError(f"an event that cannot be read: {error}") from None


def read_events(answer: Any, after: int = 0) -> EndpointEvents:
    """Reads the events after number `after` from an answer, parsed from JSON. Errors: EndpointListError."""
    try:
        events = [
            EndpointEvent(int(item["no"]), read_endpoint_update(item))
            for item in answer["items"]
            if int(item["no"]) > after
        ]
        last_number = int(answer["no"])
    except PARSE_ERRORS as error:
        raise EndpointListError(f"an answer that cannot be read: {error}") from None
    numbers = [event.number for event in events]
    if numbers != sorted(numbers):
        raise EndpointListError(f"event numbers go back: {numbers[:20]}")
    return EndpointEvents(last_number, events)
