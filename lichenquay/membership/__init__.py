"""Membership: SWIM with Lifeguard's extensions, over datagrams that may be lost or reordered. No I/O."""
