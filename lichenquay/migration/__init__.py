"""Session migration: the sessions of a gateway that shuts down go to other gateways, each to exactly one."""
