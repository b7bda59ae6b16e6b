"""Interactive groups: small queries with a short objective, such as those of dashboards."""

from collections.abc import Sequence

from lichenquay.admission.domain import ResourceGroup


def interactive_groups(groups: Sequence[ResourceGroup]) -> frozenset[ResourceGroup]:
    """Returns the groups that have no slots, no memory grant of the gateway, and the highest priority.

    Their queries use one thread, are no bulk loads, and have a shorter longest objective than some other
    group. A group's longest objective is that of a query whose work per thread takes the longest timeout. The
    work of these queries is small compared to their value; waiting for slots would cost more than it
    protects. A deployment with one group has no interactive group.
    """
    longest_objective_ms = {
        group: group.latency_objective_ms + group.latency_objective_stretch * group.max_timeout_ms
        for group in groups
    }
    most_ms = max(longest_objective_ms.values(), default=0.0)
    return frozenset(
        group
        for group in groups
        if group.threads == 1 and not group.is_bulk_load and longest_objective_ms[group] < most_ms
    )
