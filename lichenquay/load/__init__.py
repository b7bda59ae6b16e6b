"""The load generator.

Worker processes send an open-loop load, drawn from a shape or read from a trace. Latency is measured from the
intended send time.
"""
