"""Connection admission: which clients' connections and queries are taken, and what goes first when room is short."""
