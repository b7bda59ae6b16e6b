"""Processes that distribute configuration to the fronts: voters, one of them the publisher, and relays."""
