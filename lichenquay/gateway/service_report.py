"""The report that a gateway logs on SIGUSR1 and at its end."""

import os
import resource
import time

LARGEST_ACCOUNTS = 5  # number of client accounts in the report


def lines(service) -> list[str]:
    """Returns the counters and the current state of a `Service`, one per line."""
    clients = service.clients
    engines = service.engines
    return [
        *service.metrics.lines(),
        f"client connections: {len(clients.connections)}",
        f"client connections at most: {clients.peak_connections}",
        f"engine connections: {engines.open_count}",
        f"engine connections at most: {engines.peak_open_count}",
        f"engines listed: {len(service.engines_by_id)}",
        f"attempts in flight: {service.attempts.in_flight_count}",
        f"queries open: {len(service.adapter.open_queries)}",
        f"descriptors: {len(os.listdir('/proc/self/fd'))}",
        f"cpu seconds: {time.process_time():.2f}",
        f"memory MB at most: {_peak_memory_mb()}",
        f"bytes held for queries: {service.memory.held_bytes}",
        f"bytes held for queries at most: {service.memory.peak_bytes}",
        f"state: {service.phase}",
        f"connection admission: {clients.connection_admission.state}",
        *_account_lines(clients.connection_admission),
        *(service.fleet.lines() if service.fleet is not None else ()),
    ]


def _account_lines(connection_admission):
    """Yields a line for each of the client accounts with most connections."""
    for client in connection_admission.largest_clients(LARGEST_ACCOUNTS):
        known = " (known)" if client.is_known else ""
        held = f"{client.connections} connections, {client.queries} queries, {client.held_bytes} bytes"
        yield f"largest client: {client.name}{known}: {held}"


def _peak_memory_mb():
    # ru_maxrss is in KB.
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
