"""Connection admission: decides which client connections and queries are admitted, rejected or evicted.

The package performs no I/O. Times are milliseconds of one monotonic clock; sizes are bytes.
"""
