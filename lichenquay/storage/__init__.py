"""Records of bytes on disk that survive, for one process: checksummed, fsynced with their folder, two generations,
one lock.

Options weighed, states and what is lost when: docs/design/storage.md.
"""
