"""Relocation: an attempt is cancelled on its engine, to be retried on another one."""

from lichenquay.admission.domain import Effect, GatewayPermissions
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.reservation import Reservation


class Relocation:
    """Cancels attempts whose engine is unresponsive, lost them or runs them badly; a retry follows."""

    def __init__(self, port: GatewayPort, permissions: GatewayPermissions):
        """Takes `permissions`: whether attempts may be cancelled, and how many a query may have."""
        self.port = port
        self.permissions = permissions

    def cancel_and_retry(self, reservation: Reservation) -> None:
        """Cancels the attempt if engines honour that and the query may be retried harmlessly.

        Otherwise the query would spend its remaining time waiting for an engine that is unlikely to answer.
        """
        query = reservation.query
        if not self.permissions.may_cancel or reservation.group.effect != Effect.READ_ONLY:
            return
        if len(query.attempts) >= self.permissions.max_attempts:
            return
        if reservation.is_relocated or query.is_done or reservation.attempt.outcome:
            return
        reservation.is_relocated = True
        self.port.cancel_attempt(reservation.attempt)
