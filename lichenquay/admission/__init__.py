"""The admission decisions: one module for each rule, wired together by `controller`.

`domain` holds the types that a gateway shares with the controller, `ports` the two interfaces between them.
Nothing here does I/O or reads a clock: the gateway supplies the time and the seed, and carries out every
effect.
"""
