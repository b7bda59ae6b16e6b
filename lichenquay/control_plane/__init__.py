"""Processes that distribute configuration to the gateways: voters, one of them the publisher, and relays."""
