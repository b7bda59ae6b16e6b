"""The gateway: accepts queries of clients, forwards admitted ones to engines, and relays the results.

A query passes through the modules in this order: `client_listener`, `client_connection`, `request_intake`,
`controller_adapter`, `routing`, `dispatch`, `result_relay`. Calls to engines are made by `engine_pool`,
`engine_connection` and `engine_call`; `discovery` follows the endpoint list; `service` owns all of them and
implements the phases from start to exit. The protocol modules `frames`, `http`, `engine_protocol`,
`endpoint_events` and `statement` perform no I/O, nor does `attempt_lifecycle`.
"""
