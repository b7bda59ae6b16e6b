"""Gateways among each other, and control processes: one UDP socket, timer and disk around parts without I/O."""
