"""What one client's connection makes the gateway hold, in the account and against the client's limits."""

from lichenquay.gateway.memory_account import MemoryAccount, QueryMemory


class ClientMemory:
    """Counts what is held for one connection, queries aside, until the connection is closed.

    A query counts against its client's limits only while it is open; in the account it has its own holders.
    """

    def __init__(self, account: MemoryAccount, connection_admission, record):
        """Starts empty. `record`: the connection's record in `connection_admission`, which has the limits."""
        self.account = account
        self._connection_admission = connection_admission
        self._record = record
        self._held_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Adds to what is held for the connection; `size_bytes` may be negative."""
        if size_bytes:
            self._held_bytes += size_bytes
            self.account.add(size_bytes)
            self._connection_admission.on_held_bytes_changed(self._record, size_bytes)

    def on_query_opened(self, memory: QueryMemory) -> None:
        """Counts an accepted query against the client's limits."""
        self._connection_admission.on_held_bytes_changed(self._record, memory.size_bytes)

    def on_query_closed(self, memory: QueryMemory) -> None:
        """Ends that, as the query has its answer or was cancelled; its attempt may still be in flight."""
        self._connection_admission.on_held_bytes_changed(self._record, -memory.size_bytes)

    def release(self) -> None:
        """Releases what is held, as the connection is closed."""
        self.add(-self._held_bytes)
