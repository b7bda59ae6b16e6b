"""The addresses of serving engines by the endpoint list; performs no I/O.

Engines do not name themselves in their replies. A reply on a new connection is therefore an engine's only if
the address certainly is.
"""

from collections import Counter

from lichenquay.admission import domain


class ServingAddresses:
    """The address of each serving engine, and how many serving engines are listed at an address."""

    def __init__(self):
        """Starts without engines."""
        self._address_by_engine: dict[domain.Engine, str] = {}
        self._engine_count: Counter[str] = Counter()

    def update(self, engine: domain.Engine) -> None:
        """Records an engine's current state and address; to be called after each change of either."""
        old_address = self._address_by_engine.pop(engine, None)
        if old_address is not None:
            self._engine_count[old_address] -= 1
            if not self._engine_count[old_address]:
                del self._engine_count[old_address]
        if engine.state == domain.EndpointState.SERVING:
            self._address_by_engine[engine] = engine.address
            self._engine_count[engine.address] += 1

    def is_certain(self, engine: domain.Engine, address: str) -> bool:
        """Returns whether whoever listens at `address` is this engine, as far as the endpoint list tells.

        That is not certain of an engine that is draining or removed: it may work on without accepting
        connections, or behind a network partition, while its address already belongs to another engine. Nor
        is it of an engine that is listed elsewhere by now, or at the same address as another one.
        """
        return self._address_by_engine.get(engine) == address and self._engine_count[address] == 1
