"""Durable storage of named sections for one process: checksummed, fsynced, two generations, one lock.

Alternatives, states and the data lost in each fault: docs/design/storage.md.
"""
