"""The gateway: clients' requests in, the admission controller, calls to engines out, and the answers back.

A query passes the modules in this order: `client_listener`, `client_connection`, `request_intake`,
`controller_adapter`, `routing`, `dispatch`, `result_relay`. Calls to engines are made by `engine_pool`,
`engine_connection` and `engine_call`; `discovery` follows the endpoint list; `service` owns all of them and
has the phases from start to exit. The edge modules `frames`, `http`, `engine_protocol`, `endpoint_events` and
`statement` are free of I/O, as is `attempt_lifecycle`.
"""
