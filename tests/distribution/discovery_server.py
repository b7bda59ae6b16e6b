"""A fake discovery service: serves the endpoint list as numbered watch events over HTTP."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

POLL_INTERVAL_S = 0.01


class DiscoveryServer:
    """Serves all events from number 1 on, as a context manager. Each call is a long poll with a timeout."""

    def __init__(self, port):
        """`port`: on the loopback address."""
        self.events = []
        self.call_count = 0
        self.is_down = False
        server = self

        class Handler(BaseHTTPRequestHandler):
            """Handles one connection."""

            protocol_version = "HTTP/1.1"

            def do_GET(self):
                """Answers with the events after a number, once there is one."""
                server.answer(self)

            def log_message(self, *_):
                """Logs nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{port}"

    def __enter__(self):
        """Starts to serve in a thread."""
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *_):
        """Stops serving."""
        self.server.shutdown()
        self.server.server_close()

    def announce(self, *rows, is_whole=False):
        """Adds one event; with `is_whole` its rows replace the list."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"rev": number, "all": is_whole, "targets": list(rows)}})

    def answer(self, handler):
        """Answers one call, after its timeout at the latest."""
        self.call_count += 1
        parameters = parse_qs(urlsplit(handler.path).query)
        after = int(parameters["after"][0])
        end_s = time.monotonic() + int(parameters["patience"][0]) / 1000
        while len(self.events) <= after and time.monotonic() < end_s:
            time.sleep(POLL_INTERVAL_S)
        body = json.dumps({"no": len(self.events), "items": self.events[after:]}).encode()
        handler.send_response(503 if self.is_down else 200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        try:
            handler.wfile.write(body)
        except OSError:  # The client has closed its connection.
            return


def engine(uid, state="SERVING", zone="z1", port=9):
    """Returns a row of the endpoint list."""
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
