"""The account of the memory that queries make the gateway hold, in every layer, and its limit.

Performs no I/O. Everything is added before it is made: a request as its frames arrive and when it is
accepted, with its statement and the objects of its attempts; a reply that has come in part; the pages of a
result; and what the kernel did not take of an answer. What lives for one turn of the reactor only (what was
read at once, the frame being handled, the text of a statement while its tables are found, the copy of an
answer that is being sent) is part of the memory of the process without clients (`configuration.PROCESS_MB`).
"""

from math import inf

QUERY_BYTES = 12_288  # the objects of a query and its attempt, with the call in flight and its timers
PAGE_BYTES = 2_048  # the objects of a page or reply that is kept, beside its body
DEFERRED_REQUEST_BYTES = 256  # the objects of a deferred request, beside its payload
FREE_MEMORY_DIVISOR = 16  # a frame or request may take at most the free memory divided by this
# The share of the limit that requests leave to replies, results and answers: queries could not end otherwise.
RESULT_SHARE_DIVISOR = 4


class MemoryAccount:
    """What the gateway holds for queries, and the limit.

    held_bytes: what is held now. peak_bytes: the most that was held. max_bytes: the limit.
    """

    __slots__ = ("held_bytes", "max_bytes", "peak_bytes")

    def __init__(self, max_bytes: float = inf):
        """Starts empty."""
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.held_bytes > self.max_bytes

    def has_room_for_request(self, size_bytes: int) -> bool:
        """Returns whether a frame or request may take `size_bytes`.

        It may take a fraction of what is free for requests, so that a few large requests cannot exhaust the
        memory for many small ones.
        """
        for_requests = self.max_bytes - self.max_bytes / RESULT_SHARE_DIVISOR
        return size_bytes <= (for_requests - self.held_bytes) / FREE_MEMORY_DIVISOR

    def add(self, size_bytes: int) -> None:
        """Adds to what is held; `size_bytes` may be negative."""
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def reserve(self, size_bytes: int) -> bool:
        """Adds to what is held if the limit allows; returns whether it does. Not for requests."""
        if self.held_bytes + size_bytes > self.max_bytes:
            return False
        self.add(size_bytes)
        return True


class QueryMemory:
    """What one query makes the gateway hold, counted until the last of its holders has released it.

    Its holders are the query, until its end has been delivered to the controller, and each of its attempts,
    which may be sent or cancelled beyond the query's end.
    """

    __slots__ = ("_account", "_holders", "size_bytes")

    def __init__(self, account: MemoryAccount, size_bytes: int):
        """Adds `size_bytes` to the account, with one holder."""
        self._account = account
        self._holders = 1
        self.size_bytes = size_bytes
        account.add(size_bytes)

    def grow(self, size_bytes: int) -> None:
        """Adds to the size of the query."""
        self.size_bytes += size_bytes
        self._account.add(size_bytes)

    def hold(self) -> None:
        """Adds a holder."""
        self._holders += 1

    def release(self) -> None:
        """Removes a holder."""
        self._holders -= 1
        if not self._holders:
            self._account.add(-self.size_bytes)


def result_bytes(page_count: int, max_page_bytes: int, max_result_bytes: int) -> int:
    """Returns what the pages of a result may take until it is sent: the last page may pass the maximum."""
    return page_count * PAGE_BYTES + min(page_count * max_page_bytes, max_result_bytes + max_page_bytes)
