"""Leases for groups of processes: at most one holder, and a log replicated to a majority of the voters."""
