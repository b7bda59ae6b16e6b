"""Processes that distribute configuration to the gateways: voters, one of which publishes, and relays."""
