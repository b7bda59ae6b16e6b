"""The engines on the endpoint list: applies each announcement to them, to the pool and to the controller."""

from collections.abc import Callable

from lichenquay.admission import domain
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway.clock import wall_clock_step_ms
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine


class ListedEngines:
    """The engines on the endpoint list, by uid (`by_id`)."""

    def __init__(self, settings, pool: EnginePool, adapter, now_ms: Callable[[], float], log):
        """Starts without engines. pool: of the connections to them. adapter: is told of each change."""
        self.settings = settings
        self.pool = pool
        self.adapter = adapter
        self.now_ms = now_ms
        self.log = log
        self.by_id: dict[str, GatewayEngine] = {}

    def update(self, whole: bool, records: list[EndpointRecord]) -> None:
        """Applies a change of the endpoint list: all engines (`whole`), or those that changed."""
        listed = []
        removed = set(self.by_id.values()) if whole else set()
        for record in records:
            engine = self._update_engine(record)
            listed.append(engine)
            if record.state == domain.EndpointState.REMOVED:
                removed.add(engine)
            else:
                removed.discard(engine)
            if record.state != domain.EndpointState.SERVING:
                self._log_departure(engine)
        self.adapter.endpoints_updated(listed, whole)
        for engine in removed:  # its address may belong to another engine by now
            engine.state = domain.EndpointState.REMOVED
            self.pool.addresses.update(engine)
            self.pool.close_idle_connections(engine)
            self.by_id.pop(engine.id, None)

    def _log_departure(self, engine):
        last_ms = engine.last_attempt_ms
        last_attempt = f"{self.now_ms() - last_ms:.0f}" if last_ms else "never"
        self.log(
            "departure",
            f"endpoints: engine={engine.id} state={engine.state} last_attempt_ms_ago={last_attempt}",
        )

    def _update_engine(self, record):
        engine = self.by_id.get(record.uid)
        if engine is None:
            engine = GatewayEngine(record.uid)
            self.by_id[record.uid] = engine
        if engine.address != record.address:
            self.pool.close_idle_connections(engine)
            engine.address = record.address
        # The record has Unix time; the gateway's clock differs from it if the wall clock has stepped since.
        started_ms = record.started_ms + wall_clock_step_ms() if record.started_ms else record.started_ms
        self.settings.update_engine(
            engine, record.zone, record.kind, record.cell, record.state, record.advertised_weight, started_ms
        )
        self.pool.addresses.update(engine)
        return engine
