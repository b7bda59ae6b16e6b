"""Durable storage of named sections for one process: checksummed, fsynced, two generations, one lock.

Options weighed, states and what is lost when: docs/design/storage.md.
"""
