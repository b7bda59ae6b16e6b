"""One account of each tenant's quota for all fronts of a fleet: ledger, its keeper, and the rights at each front."""
