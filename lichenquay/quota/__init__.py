"""Fleet-wide quotas of tenants: a replicated ledger, tokens held in escrow by gateways, and loans."""
