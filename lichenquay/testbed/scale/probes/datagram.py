"""Measures one datagram between gateways by the size of its message: sealed, sent, received, opened."""

import random
import socket
from collections.abc import Callable, Sequence

from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.testbed.scale.sample import Progress, Sample, measure_processor_ms

FLEET, FINGERPRINT, INCARNATION = "scale", 1, 1_700_000_000_000
CALLS_PER_RUN, RUNS = 300, 5
TRIALS_PER_RUN = 3  # A value is the minimum of these: other load on the machine only adds time.


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: bytes of the message, up to `message_envelope.MAX_BODY_BYTES`. Sockets
    are on 127.0.0.1.
    """
    rng, samples = random.Random(f"datagram/{seed}"), []
    names = ["front-0001", "front-0002"]
    sending_envelope, receiving_envelope = (
        MessageEnvelope(FLEET, FINGERPRINT, name, names) for name in names
    )
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(1.0)
        address = receiver.getsockname()
        for done, size in enumerate(sizes):
            body = rng.randbytes(size)
            sealed = sending_envelope.seal(INCARNATION, names[1], Layer.MEMBERS, body)

            def send_and_receive(data: bytes = sealed) -> None:
                sender.sendto(data, address)
                receiver.recv(2_048)

            samples += [
                Sample(size, "datagram.length", "bytes", (float(len(sealed)),)),
                time_call(
                    size,
                    "datagram.seal",
                    lambda b=body: sending_envelope.seal(INCARNATION, names[1], Layer.MEMBERS, b),
                ),
                time_call(size, "datagram.open", lambda data=sealed: receiving_envelope.open(data)),
                time_call(size, "datagram.socket", send_and_receive),
            ]
            progress((done + 1) / len(sizes))
    return samples


def time_call(size: int, quantity: str, call: Callable[[], object]) -> Sample:
    """Returns the processor time of one call, from runs of many calls; the first run is a warm-up."""

    def run_calls() -> None:
        for _ in range(CALLS_PER_RUN):
            call()

    run_calls()
    spent = [
        min(measure_processor_ms(run_calls) for _ in range(TRIALS_PER_RUN)) / CALLS_PER_RUN
        for _ in range(RUNS)
    ]
    return Sample(size, quantity, "ms", tuple(spent))
