"""The admission decisions: one module for each rule, wired together by `controller`.

`domain` holds the types that a gateway shares with the controller, `ports` the two interfaces between them.
Nothing here does I/O or reads a clock; time, randomness and effects come from the gateway.
"""
