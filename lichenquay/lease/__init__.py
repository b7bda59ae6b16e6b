"""Leases for groups of processes: one holder at a time, and a log kept by a majority of voters."""
