"""Requests and usage reports of gateways since the leader's last record, and when each last sent one."""

from collections.abc import Container
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.tenant_account import EpochKey

MAX_REPORTS = 8192  # per period; gateways repeat requests that are shed beyond that
MAX_REQUESTS_PER_GATEWAY = 8  # per period
TOTAL_LIMIT_US = 1 << 63  # valid totals are smaller


class RequestOrder(NamedTuple):
    """The position of a request among those of its gateway; sorts in the order of sending."""

    incarnation: int
    epoch: int
    number: int


class PressureReport(NamedTuple):
    """Whether a gateway has no room for work over quota, and when it reported that."""

    reported_ms: float
    under_pressure: bool


class GatewayRequest(NamedTuple):
    """A token request and its sender."""

    gateway: str
    incarnation: int
    request: pb.Ask


class UsageReport(NamedTuple):
    """A row of a token request and the sender of the request."""

    gateway: str
    incarnation: int
    row: pb.Row


def is_plausible(request: pb.Ask) -> bool:
    """Returns whether a correct gateway can have sent this request."""
    if not (request.book and request.no):
        return False
    holdings = {(row.tenant, row.book) for row in request.rows}
    return len(holdings) == len(request.rows) and all(_is_plausible_row(request, row) for row in request.rows)


def _is_plausible_row(request: pb.Ask, row: pb.Row) -> bool:
    return (
        0 < row.book <= request.book
        and (row.book == request.book or row.sealed)
        and row.spent_us + row.returned_us <= row.known_us < TOTAL_LIMIT_US
        and row.upto_us < TOTAL_LIMIT_US
        and max(row.need_us, row.lack_us) < TOTAL_LIMIT_US
    )


class PendingRequests:
    """Requests and usage reports of one leadership term."""

    def __init__(self):
        """Starts without requests."""
        self.last_message_ms: dict[EpochKey, float] = {}
        self.newest: dict[str, RequestOrder] = {}
        self.pressure: dict[str, PressureReport] = {}
        self.requests: dict[str, list[GatewayRequest]] = {}
        self.reports: list[UsageReport] = []

    def __bool__(self):
        """Returns whether there are requests or reports for the next record."""
        return bool(self.requests or self.reports)

    @property
    def is_full(self) -> bool:
        """Whether further requests must wait for the next record."""
        return len(self.reports) > MAX_REPORTS

    def add(self, now_ms: float, gateway: str, incarnation: int, request: pb.Ask) -> bool:
        """Adds a plausible request; returns whether it will be answered.

        Its totals count in any case; only requests of a gateway's newest epoch are granted and answered.
        """
        self.last_message_ms[EpochKey(gateway, incarnation, request.book)] = now_ms
        self.reports += [UsageReport(gateway, incarnation, row) for row in request.rows]
        order = RequestOrder(incarnation, request.book, request.no)
        newest = self.newest.get(gateway, order)
        if order >= newest:
            self.newest[gateway] = order
            self.pressure[gateway] = PressureReport(now_ms, request.pressed)
        requests = self.requests.setdefault(gateway, [])
        if order[:2] < newest[:2] or len(requests) >= MAX_REQUESTS_PER_GATEWAY:
            return False
        requests.append(GatewayRequest(gateway, incarnation, request))
        return True

    def take_reports(self) -> list[UsageReport]:
        """Removes and returns all usage reports."""
        reports, self.reports = self.reports, []
        return reports

    def take_requests(self) -> list[GatewayRequest]:
        """Removes all requests and returns those of each gateway's newest epoch."""
        taken, self.requests = self.requests, {}
        return [
            request
            for gateway, requests in taken.items()
            for request in requests
            if (request.incarnation, request.request.book) >= self.newest[gateway][:2]
        ]

    def forget_before(self, oldest_ms: float, open_epochs: Container[EpochKey]) -> None:
        """Forgets gateways without a request since `oldest_ms`, unless they have an open epoch.

        Otherwise memory would grow with the number of gateways that were ever started.
        """
        self.last_message_ms = {
            key: message_ms
            for key, message_ms in self.last_message_ms.items()
            if message_ms > oldest_ms or key in open_epochs
        }
        self.pressure = {
            gateway: report for gateway, report in self.pressure.items() if report.reported_ms > oldest_ms
        }

    def is_fleet_under_pressure(self, since_ms: float) -> bool:
        """Returns whether at least half of the gateways that reported since then are under pressure.

        Those have no room for work over quota.
        """
        reports = [report for report in self.pressure.values() if report.reported_ms > since_ms]
        return 2 * sum(report.under_pressure for report in reports) >= len(reports)
