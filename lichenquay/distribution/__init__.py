"""Versioned configuration and the list of engines for the fleet: publisher, relays, subscribers. No I/O."""
