"""The load generator: open-loop arrivals from shapes or traces, worker processes, latency from the intended send time."""
