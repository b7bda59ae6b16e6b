"""Discovery as a control process follows it: a list of engines in numbered events, over HTTP."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

POLL_S = 0.01


class DiscoveryServer:
    """A context. Events are kept from number 1 on; a call waits for later ones as long as it says."""

    def __init__(self, port):
        """`port`: of loopback."""
        self.events = []
        self.calls = 0
        self.down = False
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            """One connection."""

            protocol_version = "HTTP/1.1"

            def do_GET(self):
                """The events after a number, once there are some."""
                discovery.answer(self)

            def log_message(self, *_):
                """Logs nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{port}"

    def __enter__(self):
        """Starts to serve."""
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *_):
        """Stops."""
        self.server.shutdown()
        self.server.server_close()

    def announce(self, *rows, whole=False):
        """One event."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"rev": number, "all": whole, "targets": list(rows)}})

    def answer(self, handler):
        """One call."""
        self.calls += 1
        asked = parse_qs(urlsplit(handler.path).query)
        after, end = int(asked["after"][0]), time.monotonic() + int(asked["patience"][0]) / 1000
        while len(self.events) <= after and time.monotonic() < end:
            time.sleep(POLL_S)
        body = json.dumps({"no": len(self.events), "items": self.events[after:]}).encode()
        handler.send_response(503 if self.down else 200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        try:
            handler.wfile.write(body)
        except OSError:  # The client has closed its connection.
            return


def engine(uid, state="SERVING", zone="z1", port=9):
    """A row of the list."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": zone,
        "model": "k",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": 0,
    }
