"""Passes commands from standard input to a process's reactor."""

import sys
import threading

from lichenquay.testbed.scale.commands import UnknownCommandError, decode_command


def start_command_reader(reactor, execute, ended):
    """Starts a thread that calls `execute(command)` in the reactor for each line, and `ended()` at the end of
    input.
    """

    def read_lines():
        for line in sys.stdin:
            try:
                command = decode_command(line)
            except UnknownCommandError as error:
                print(f"unknown command: {error}", file=sys.stderr, flush=True)
                continue
            reactor.callFromThread(execute, command)
        reactor.callFromThread(ended)

    threading.Thread(target=read_lines, name="orders", daemon=True).start()


def stop(reactor):
    """Stops a reactor, unless it has stopped already."""
    if reactor.running:
        reactor.stop()


def write_answer(line):
    """Writes one line to the run that sends the commands."""
    print(line, flush=True)
