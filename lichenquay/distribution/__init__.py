"""Distributes versioned configuration and the endpoint list: publisher, relays, subscribers. No I/O."""
