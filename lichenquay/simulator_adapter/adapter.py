"""Reads the simulator's batches, passes each message to its gateway, and answers each batch."""

import sys
import traceback
from collections.abc import Callable
from typing import TextIO

from lichenquay.settings_section import MICROSECONDS_PER_MS
from lichenquay.simulator_adapter.codec import MalformedInputError, WireLine, single_line
from lichenquay.simulator_adapter.simulated_gateway import SimulatedGateway

MessageHandler = Callable[[SimulatedGateway, WireLine], None]

MESSAGE_HANDLERS: dict[str, MessageHandler] = {
    "arrival": SimulatedGateway.on_arrival,
    "response": SimulatedGateway.on_response,
    "change": SimulatedGateway.on_change,
    "first": SimulatedGateway.on_first,
    "abandoned": SimulatedGateway.on_abandoned,
    "probe_done": SimulatedGateway.on_probe_done,
    "wakeup": SimulatedGateway.on_wakeup,
    "note_from": SimulatedGateway.on_note_from,
    "targets": SimulatedGateway.on_targets,
}


class Adapter:
    """All simulated gateways of this process; they share the endpoint lists, which precede their use."""

    def __init__(self, reader: TextIO, writer: TextIO):
        """Takes `reader` for the simulator's lines and `writer` for the replies."""
        self.reader = reader
        self.writer = writer
        self.gateways: dict[str, SimulatedGateway] = {}
        self.endpoint_lists: dict[int, list[WireLine]] = {}
        self.line_number = 0

    def run(self) -> None:
        """Answers batches until the input ends. Raises `MalformedInputError`."""
        while (line := self._next_line()) is not None:
            if line.tag != "clock":
                raise line.error("clock", "missing at the start of a batch")
            reply = self._read_batch(line.integer("moment_us") / MICROSECONDS_PER_MS)
            self.writer.write(reply)
            self.writer.flush()

    def _next_line(self) -> WireLine | None:
        text = self.reader.readline()
        if not text:
            return None
        self.line_number += 1
        return WireLine(self.line_number, text.rstrip("\r\n"))

    def _read_batch(self, now_ms: float) -> str:
        """Handles the messages of one batch and returns the reply.

        An "about" line names the gateway of the messages that follow it.
        """
        name = None
        gateway = None
        replies: list[str] = []
        while True:
            line = self._next_line()
            if line is None:
                raise MalformedInputError(
                    f"line {self.line_number + 1}: go: missing, input ended inside a batch"
                )
            handler = MESSAGE_HANDLERS.get(line.tag)
            if handler is not None and gateway is not None:
                self._handle(gateway, handler, line, replies)
            elif line.tag == "go":
                break
            elif line.tag == "about":
                name = line.text("who")
                gateway = self.gateways.get(name)
                if gateway is not None:
                    gateway.now_ms = now_ms
            elif line.tag == "sheet":
                self.endpoint_lists[line.integer("table")] = self._read_rows(line)
            elif name is None:
                raise line.error("about", "no instance named")
            elif line.tag == "hello":
                gateway = self._start_gateway(name, now_ms, line, replies)
            elif line.tag == "detach":
                self.gateways.pop(name, None)
                gateway = None
            elif handler is not None:
                raise line.error("who", f"no such instance now: {name!r}")
            else:
                raise line.error(line.tag, "unknown message")
        return "".join(replies) + "ok\n"

    def _start_gateway(
        self, name: str, now_ms: float, line: WireLine, replies: list[str]
    ) -> SimulatedGateway:
        self.gateways.pop(name, None)
        gateway = SimulatedGateway(name, now_ms, self.endpoint_lists)
        if self._handle(gateway, SimulatedGateway.on_hello, line, replies):
            self.gateways[name] = gateway
        return gateway

    def _read_rows(self, line: WireLine) -> list[WireLine]:
        """Reads the rows of an endpoint list, which follow the line that announces it."""
        rows = []
        for _ in range(line.integer("rows_in")):
            row = self._next_line()
            if row is None:
                raise MalformedInputError(
                    f"line {self.line_number + 1}: engine: missing, input ended inside a batch"
                )
            if row.tag != "engine":
                raise row.error("engine", "expected a row of the list")
            rows.append(row)
        return rows

    @staticmethod
    def _handle(
        gateway: SimulatedGateway, handler: MessageHandler, line: WireLine, replies: list[str]
    ) -> bool:
        """Handles one message and adds the gateway's output to `replies`; returns whether it succeeded.

        An exception in the controller is reported for its gateway, and its traceback is written to standard
        error; the other gateways of the process continue.
        """
        fault = None
        try:
            handler(gateway, line)
        except MalformedInputError:
            raise
        except Exception as caught:
            fault = caught
            traceback.print_exc(file=sys.stderr)
            what = f"{single_line(type(fault).__name__)}: {single_line(fault)}"
            gateway.output.append(f"exception\twhat={what}")
        if gateway.output:
            replies.append(f"on_behalf\twho={gateway.name}\n" + "\n".join(gateway.output) + "\n")
            gateway.output.clear()
        return fault is None
