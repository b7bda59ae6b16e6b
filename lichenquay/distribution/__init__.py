"""Versioned configuration and the engine list for all gateways: publisher, relays, subscribers. No I/O."""
