"""One quota for each tenant in all gateways: a replicated ledger, tokens in escrow, and loans."""
