"""The endpoint list as the discovery service has announced it; performs no I/O."""

from collections.abc import Callable

from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway.endpoint_events import EndpointListError, read_events


class Discovery:
    """The endpoint list as the discovery service has announced it so far."""

    def __init__(
        self,
        known,
        on_endpoints: Callable[[bool, list[EndpointRecord]], None],
        log,
        on_confirmed: Callable[[], None] = lambda: None,
    ):
        """Applies `known`, an answer from before the start, parsed from JSON. Errors: EndpointListError.

        on_endpoints(whole, records): called with each event.
        on_confirmed(): called once, when the discovery service itself has answered.
        """
        self.on_endpoints = on_endpoints
        self.on_confirmed = on_confirmed
        self.log = log
        self.last_number = 0
        self.is_confirmed = False
        self.apply(known)

    def on_answer(self, answer, asked_after: int | None = None) -> None:
        """Applies an answer of the service and confirms the endpoint list. Errors: EndpointListError.

        asked_after: the number in the poll; the answer to another poll may have been newer meanwhile.
        """
        self.apply(answer, asked_after)
        self.confirm()

    def confirm(self) -> None:
        """Marks the endpoint list as confirmed: it was announced after the gateway's start."""
        if not self.is_confirmed:
            self.is_confirmed = True
            self.on_confirmed()

    def apply(self, answer, asked_after: int | None = None) -> None:
        """Applies all new events of an answer, or none of them. Errors: EndpointListError."""
        update = read_events(answer, self.last_number)
        oldest_number = self.last_number if asked_after is None else min(asked_after, self.last_number)
        if update.last_number < oldest_number:
            raise EndpointListError(f"event numbers go back: {update.last_number} after {self.last_number}")
        for event in update.events:
            self.on_endpoints(event.endpoints.is_whole, event.endpoints.records)
        numbers = [self.last_number, update.last_number, *(event.number for event in update.events)]
        self.last_number = max(numbers)
