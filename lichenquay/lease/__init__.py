"""What may have one owner at a time: groups with a generation, a lease, and records kept by a majority of voters."""
