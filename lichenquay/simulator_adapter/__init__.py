"""The bench's wire before the decisions. A real front will be a sibling package of this one."""
