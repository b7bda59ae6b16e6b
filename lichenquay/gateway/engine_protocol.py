"""Calls to engines and what their replies mean (the operators' PROTOCOL), free of I/O.

An edge module: the names that PROTOCOL gives to an engine's calls and replies end here.
"""

from collections.abc import Callable
from typing import NamedTuple

from lichenquay.admission import domain
from lichenquay.gateway.http import Reply, Status, encode_request

MAX_PAGE_BYTES = 6_000  # PROTOCOL
# PROTOCOL: page 0 of a result is the progress of its query, and the first page once it is there
POLL_PAGE = 0
MAX_FIGURE = 1e12  # a larger one in a header is none
PROGRESS_KINDS = {
    "share": domain.ProgressKind.PROGRESS,
    "short": domain.ProgressKind.SPILLING,
    "held": domain.ProgressKind.WAITING,
}
# What the settings call the values of a load report; an engine may use either name.
LOAD_REPORT_FIELDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


class ProgressEvent(NamedTuple):
    """What an engine reports of an attempt; the unit of `amount` is that of its kind."""

    kind: domain.ProgressKind
    amount: float


RESPONSIVE = ProgressEvent(domain.ProgressKind.RESPONSIVE, 0.0)


def encode_start(
    host: str,
    request_id: str,
    group: str,
    timeout_ms: float,
    grant_mb: float,
    priority: int | None,
    statement: bytes,
    idempotency_key: str = "",
    ordering_key: str = "",
) -> bytes:
    """The call that starts an attempt. `grant_mb` 0 and `priority` None: the engine's choice."""
    headers = [("X-Hop-Id", request_id), ("X-Sort", group), ("X-Budget", max(1, int(timeout_ms)))]
    if idempotency_key:  # by it, engines drop repeats
        headers.append(("X-Replay-Key", idempotency_key))
    if ordering_key:
        headers.append(("X-Thing", ordering_key))
    if grant_mb > 0:
        headers.append(("X-Mem-Limit", f"{grant_mb:.1f}"))
    if priority is not None:
        headers.append(("X-Nice", priority))
    return encode_request("POST", "/o", host, headers, statement)


def encode_page(host: str, request_id: str, page: int) -> bytes:
    """The call for a page of a result; `POLL_PAGE` polls the progress."""
    return encode_request("GET", f"/o/{request_id}/{page}", host)


def encode_priority(host: str, request_id: str, priority: int) -> bytes:
    """The call that sets an attempt's priority."""
    return encode_request("PUT", f"/o/{request_id}", host, body=b"%d" % priority)


def encode_cancel(host: str, request_id: str) -> bytes:
    """The call that cancels an attempt."""
    return encode_request("DELETE", f"/o/{request_id}", host)


def _are_rows(body):
    """Whole rows of three columns, and no more of them than a page holds."""
    text = bytes(body)
    ends_with_row = not text or text[-1] == ord("\n")
    has_three_columns = text.count(b"\t") == 2 * text.count(b"\n")
    return len(text) <= MAX_PAGE_BYTES and ends_with_row and has_three_columns


def is_poll_reply(reply: Reply) -> bool:
    """Whether this is a reply to the first call or to a poll, as PROTOCOL lists them."""
    if reply.status == Status.OK:
        return bool(
            page_count(reply)
            and "x-part-no" not in reply.headers
            and _are_rows(reply.body)
            and (reply.body or not reply.has_trailing_bytes)
        )
    return reply.status in (Status.ACCEPTED, Status.SERVER_ERROR) or is_overloaded(reply)


def page_reply_check(page: int) -> Callable[[Reply], bool]:
    """The check whether a reply is one to the call for this page."""

    def is_page_reply(reply):
        if reply.status == Status.SERVER_ERROR:
            return True
        is_this_page = reply.status == Status.OK and reply.header_as_int("x-part-no") == page
        return bool(is_this_page and len(reply.body) and _are_rows(reply.body))

    return is_page_reply


def is_acknowledgement(reply: Reply) -> bool:
    """Whether this is a reply to a cancellation or a priority; 500: the engine knows the query no longer."""
    return reply.status in (Status.NO_CONTENT, Status.SERVER_ERROR)


def is_overloaded(reply: Reply) -> bool:
    """Whether the engine shed the attempt, and promises that it never ran."""
    is_busy = reply.status in (Status.SERVICE_UNAVAILABLE, Status.GATEWAY_TIMEOUT)
    return is_busy and reply.headers.get("x-no-effect") == "1"


def page_count(reply: Reply) -> int | None:
    """Of how many pages the result has that a reply begins; None if it does not say."""
    return reply.header_as_int("x-parts", 1)


def read_progress(reply: Reply) -> ProgressEvent | None:
    """The progress event in a reply. An engine that makes no progress still replies, without one."""
    kind = PROGRESS_KINDS.get(reply.headers.get("x-tell"))
    amount = _figure(reply, "x-amount")
    if kind is None or amount is None:
        return None
    return ProgressEvent(kind, amount)


def read_load_report(reply: Reply) -> dict[str, float] | None:
    """A load report; None where there is none or it cannot be read."""
    report = {}
    for part in reply.headers.get("x-report", "").split(";"):
        name, _, text = part.strip().partition(":")
        try:
            value = float(text)
        except ValueError:
            continue
        if 0 <= value < MAX_FIGURE:
            report[LOAD_REPORT_FIELDS.get(name, name)] = value
    return report or None


def read_cost(reply: Reply) -> domain.ExecutionCost | None:
    """What a completed query used; None where the engine does not say."""
    work_ms = _figure(reply, "x-cpu-ms")
    memory_mb = _figure(reply, "x-mem-used")
    if work_ms is None or memory_mb is None:
        return None
    return domain.ExecutionCost(work_ms, memory_mb)


def _figure(reply, header):
    try:
        value = float(reply.headers[header])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < MAX_FIGURE else None
