"""The simulator's line protocol before the admission controller; the gateway is a sibling of this package.

`codec` reads and writes lines, `simulated_gateway` is the port of one controller, `adapter` reads batches.
"""
