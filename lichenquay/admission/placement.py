"""Placement constraints: which engines a resource group may use."""

from lichenquay.admission.domain import Engine, ResourceGroup


def satisfies_placement(group: ResourceGroup, engine: Engine) -> bool:
    """Returns whether queries of the group may run on the engine, by its zone and kind.

    A query sent to any other engine would break the operators' placement rule, which has no exception.
    """
    if group.allowed_kinds and engine.kind not in group.allowed_kinds:
        return False
    return not group.allowed_zones or engine.zone in group.allowed_zones


def has_placement_constraint(group: ResourceGroup) -> bool:
    """Returns whether the group is restricted to some zones or kinds."""
    return bool(group.allowed_zones or group.allowed_kinds)
