"""Group membership: SWIM with Lifeguard's extensions, over unreliable datagrams. No I/O."""
