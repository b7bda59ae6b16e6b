"""Adapter between the simulator's line protocol and the admission controller.

`codec` reads and writes lines, `simulated_gateway` is the port of one controller, `adapter` reads batches.
The production gateway is a sibling of this package.
"""
