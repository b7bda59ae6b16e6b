"""Queries that wait for a slot, by group, in the order in which they get one."""

from bisect import insort
from collections.abc import Iterator, Sequence

from lichenquay.admission.domain import Query, ResourceGroup
from lichenquay.admission.query_size import expected_work_ms

MAX_TRIED_PER_GROUP = 5  # queries tried when capacity may have become free


def _waiting_order(query: Query) -> tuple[bool, float, int]:
    """Returns the sort key: queries over quota last, then by work, as a group's queries have equal weight."""
    return (query.counts_over_quota, expected_work_ms(query), query.id)


class WaitingQueries:
    """The queues of all groups."""

    def __init__(self, groups: Sequence[ResourceGroup]):
        """Creates an empty queue for each group."""
        self.by_group: dict[ResourceGroup, list[Query]] = {group: [] for group in groups}

    def add(self, query: Query) -> None:
        """Inserts the query into its group's queue."""
        insort(self.by_group[query.group], query, key=_waiting_order)

    def remove(self, query: Query) -> None:
        """Removes the query from its group's queue if it waits there."""
        queue = self.by_group[query.group]
        if query in queue:
            queue.remove(query)

    def contains(self, query: Query) -> bool:
        """Returns whether the query waits."""
        return query in self.by_group[query.group]

    def count(self, group: ResourceGroup) -> int:
        """Returns the number of the group's waiting queries."""
        return len(self.by_group[group])

    def is_empty(self) -> bool:
        """Returns whether no query waits."""
        return not any(self.by_group.values())

    def next_candidates(self) -> Iterator[Query]:
        """Yields the first few queries of each queue; they may be removed meanwhile."""
        for queue in self.by_group.values():
            yield from queue[:MAX_TRIED_PER_GROUP]
