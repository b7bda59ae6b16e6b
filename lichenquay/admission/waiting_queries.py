"""Queries that wait for a slot, by group, in the order in which they get one."""

from bisect import insort
from collections.abc import Iterator, Sequence

from lichenquay.admission.domain import Query, ResourceGroup
from lichenquay.admission.query_size import expected_work_ms

MAX_TRIED_PER_GROUP = 5  # queries tried when something may have become free


def _waiting_order(query: Query) -> tuple[bool, float, int]:
    """Queries over quota last; then the least work first, as all of a group are worth the same."""
    return (query.counts_over_quota, expected_work_ms(query), query.id)


class WaitingQueries:
    """The queues of all groups."""

    def __init__(self, groups: Sequence[ResourceGroup]):
        """Empty queues."""
        self.by_group: dict[ResourceGroup, list[Query]] = {group: [] for group in groups}

    def add(self, query: Query) -> None:
        """The query takes its place in its group's queue."""
        insort(self.by_group[query.group], query, key=_waiting_order)

    def remove(self, query: Query) -> None:
        """The query waits no more, if it did."""
        queue = self.by_group[query.group]
        if query in queue:
            queue.remove(query)

    def contains(self, query: Query) -> bool:
        """Whether the query waits."""
        return query in self.by_group[query.group]

    def count(self, group: ResourceGroup) -> int:
        """How many of the group's queries wait."""
        return len(self.by_group[group])

    def is_empty(self) -> bool:
        """Whether no query waits."""
        return not any(self.by_group.values())

    def next_candidates(self) -> Iterator[Query]:
        """The first few of each queue, which may be removed meanwhile."""
        for queue in self.by_group.values():
            yield from queue[:MAX_TRIED_PER_GROUP]
