"""The load generator.

Arrivals are open-loop, from shapes or traces, and sent by worker processes. Latency counts from the
intended send time.
"""
