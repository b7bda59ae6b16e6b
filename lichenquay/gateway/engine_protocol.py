"""Encodes calls to engines and interprets their replies, as PROTOCOL defines.

Performs no I/O. The wire names of calls and replies are translated here and are not used elsewhere.
"""

from collections.abc import Callable
from typing import NamedTuple

from lichenquay.admission import domain
from lichenquay.gateway.http import Reply, Status, encode_request, encode_request_head

MAX_PAGE_BYTES = 6_000  # PROTOCOL
# PROTOCOL: page 0 of a result is the progress of the query until the result is there, then its first page
POLL_PAGE = 0
SEPARATORS_PER_ROW = 2  # PROTOCOL: rows of three columns, a tab between them
NO_EFFECT_HEADER = "x-no-effect"
MAX_HEADER_NUMBER = 1e12  # a larger number in a header is invalid
PROGRESS_KINDS = {
    "share": domain.ProgressKind.PROGRESS,
    "short": domain.ProgressKind.SPILLING,
    "held": domain.ProgressKind.WAITING,
}
# Names of load report values on the wire and in the settings; an engine may use either.
LOAD_REPORT_FIELDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


class ProgressEvent(NamedTuple):
    """A progress report of an engine on an attempt; the unit of `amount` depends on the kind."""

    kind: domain.ProgressKind
    amount: float


RESPONSIVE = ProgressEvent(domain.ProgressKind.RESPONSIVE, 0.0)


def encode_start_head(
    host: str,
    request_id: str,
    group: str,
    timeout_ms: float,
    grant_mb: float,
    priority: int | None,
    statement_bytes: int,
    idempotency_key: str = "",
    ordering_key: str = "",
) -> bytes:
    """Encodes the head of the call that starts an attempt; its body is the statement.

    With `grant_mb` 0 or `priority` None, the engine chooses.
    """
    headers = [("X-Hop-Id", request_id), ("X-Sort", group), ("X-Budget", max(1, int(timeout_ms)))]
    if idempotency_key:  # by which engines recognize a repeated attempt
        headers.append(("X-Replay-Key", idempotency_key))
    if ordering_key:
        headers.append(("X-Thing", ordering_key))
    if grant_mb > 0:
        headers.append(("X-Mem-Limit", f"{grant_mb:.1f}"))
    if priority is not None:
        headers.append(("X-Nice", priority))
    return encode_request_head("POST", "/o", host, headers, statement_bytes)


def encode_start(
    host: str,
    request_id: str,
    group: str,
    timeout_ms: float,
    grant_mb: float,
    priority: int | None,
    statement: bytes,
    *keys: str,
) -> bytes:
    """Encodes the whole call that starts an attempt; `keys` are those of `encode_start_head`."""
    head = encode_start_head(host, request_id, group, timeout_ms, grant_mb, priority, len(statement), *keys)
    return head + statement


def encode_page(host: str, request_id: str, page: int) -> bytes:
    """Encodes the call for a page of a result; `POLL_PAGE` polls the progress."""
    return encode_request("GET", f"/o/{request_id}/{page}", host)


def encode_priority(host: str, request_id: str, priority: int) -> bytes:
    """Encodes the call that sets an attempt's priority."""
    return encode_request("PUT", f"/o/{request_id}", host, body=b"%d" % priority)


def encode_cancel(host: str, request_id: str) -> bytes:
    """Encodes the call that cancels an attempt."""
    return encode_request("DELETE", f"/o/{request_id}", host)


def _is_valid_page(body):
    """Returns whether a body consists of complete rows of three columns and fits on a page."""
    text = bytes(body)
    ends_with_row = not text or text[-1] == ord("\n")
    has_three_columns = text.count(b"\t") == SEPARATORS_PER_ROW * text.count(b"\n")
    return len(text) <= MAX_PAGE_BYTES and ends_with_row and has_three_columns


def may_be_cut_short(reply: Reply) -> bool:
    """Returns whether a page may go on in what was read after the end of its reply.

    The length of a reply may be spoilt on the way, and may then end with a row. What may follow a complete
    page, such as a duplicate of the reply, does not begin with a row of three columns.
    """
    if reply.status != Status.OK or not reply.has_trailing_bytes:
        return False
    first_line, line_end, _ = bytes(reply.trailing).partition(b"\n")
    separators = first_line.count(b"\t")
    return separators == SEPARATORS_PER_ROW if line_end else separators <= SEPARATORS_PER_ROW


def is_poll_reply(reply: Reply) -> bool:
    """Returns whether this is a valid reply to the first call or to a poll."""
    if reply.status == Status.OK:
        return bool(
            page_count(reply)
            and "x-part-no" not in reply.headers
            and _is_valid_page(reply.body)
            and not may_be_cut_short(reply)
        )
    return reply.status in (Status.ACCEPTED, Status.SERVER_ERROR) or is_overloaded(reply)


def page_reply_check(page: int) -> Callable[[Reply], bool]:
    """Returns the predicate whether a reply answers the call for this page."""

    def is_page_reply(reply):
        if reply.status == Status.SERVER_ERROR:
            return True
        is_this_page = reply.status == Status.OK and reply.header_as_int("x-part-no") == page
        if not is_this_page or not len(reply.body):
            return False
        return _is_valid_page(reply.body) and not may_be_cut_short(reply)

    return is_page_reply


def is_acknowledgement(reply: Reply) -> bool:
    """Returns whether this answers a cancellation or priority call; 500 means that the query is unknown."""
    return reply.status in (Status.NO_CONTENT, Status.SERVER_ERROR)


def is_overloaded(reply: Reply) -> bool:
    """Returns whether the engine shed the attempt and guarantees that it never ran."""
    is_busy = reply.status in (Status.SERVICE_UNAVAILABLE, Status.GATEWAY_TIMEOUT)
    return is_busy and reply.headers.get(NO_EFFECT_HEADER) == "1"


def acceptance_of(reply: Reply) -> Reply:
    """Returns what tells which calls a reply other than a result could answer, without what else it holds."""
    headers = {name: value for name, value in reply.headers.items() if name == NO_EFFECT_HEADER}
    return Reply(reply.status, headers, reply.keep_alive)


def page_count(reply: Reply) -> int | None:
    """Returns how many pages the result has whose first page this is; None if the reply does not say."""
    return reply.header_as_int("x-parts", 1)


def read_progress(reply: Reply) -> ProgressEvent | None:
    """Reads the progress event of a reply; None if there is none, as when an engine makes no progress."""
    kind = PROGRESS_KINDS.get(reply.headers.get("x-tell"))
    amount = _read_number(reply, "x-amount")
    if kind is None or amount is None:
        return None
    return ProgressEvent(kind, amount)


def read_load_report(reply: Reply) -> dict[str, float] | None:
    """Reads the load report of a reply, by names of the settings; None if there is no valid value."""
    report = {}
    for part in reply.headers.get("x-report", "").split(";"):
        name, _, text = part.strip().partition(":")
        try:
            value = float(text)
        except ValueError:
            continue
        if 0 <= value < MAX_HEADER_NUMBER:
            report[LOAD_REPORT_FIELDS.get(name, name)] = value
    return report or None


def read_cost(reply: Reply) -> domain.ExecutionCost | None:
    """Reads what a completed query used; None if the engine does not report it."""
    work_ms = _read_number(reply, "x-cpu-ms")
    memory_mb = _read_number(reply, "x-mem-used")
    if work_ms is None or memory_mb is None:
        return None
    return domain.ExecutionCost(work_ms, memory_mb)


def _read_number(reply, header):
    """Returns a header as a number from 0 to below `MAX_HEADER_NUMBER`; None if it is missing or invalid."""
    try:
        value = float(reply.headers[header])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < MAX_HEADER_NUMBER else None
