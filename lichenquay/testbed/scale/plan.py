"""The size that the installation is planned for, and a gateway's budget for its control traffic
(issue 37).
"""

GATEWAYS = 4_400
ENGINES = 25_000
STATEMENTS_PER_S = 18_000_000
CONNECTIONS = 22_000_000
ZONES, GATEWAYS_PER_ZONE = 12, 367
RESTARTS_PER_DAY = 7_000
CONFIGURATION_CHANGES_PER_DAY = 50_000
PRIMARY_CHANGES_PER_DAY = 22
PRIMARY_CHANGE_TARGET_MS, CONFIGURATION_TARGET_MS = 10_000.0, 7_000.0
DAY_S = 86_400

# A gateway's budget for all its control functions together; bytes are sent and received.
GATEWAY_PROCESSOR_MS_PER_S = 38.0
GATEWAY_MEMORY_BYTES = 128_000_000
GATEWAY_BYTES_PER_S = 5_000.0

# A process has one thread, which bounds its processor time a second.
PROCESS_MS_PER_S = 1_000.0

# Assumptions, as the plan gives no figures.
EVENTS_PER_RESTART = 3  # draining, withdrawn, listed again
TENANTS_ASSUMED = 100
TABLE_SETS_ASSUMED = 20
REGIONS_ROUND_TRIP_MS = 60.0

LIST_EVENTS_PER_S = RESTARTS_PER_DAY * EVENTS_PER_RESTART / DAY_S
STATEMENTS_PER_S_PER_GATEWAY = STATEMENTS_PER_S / GATEWAYS
