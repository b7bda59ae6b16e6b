"""Connection admission: which connections and queries of clients are admitted, and which are evicted.

Nothing here performs I/O. Times are milliseconds of one monotonic clock, sizes are bytes.
"""
