"""Serves a stand-in's routes with waitress until SIGTERM or SIGINT."""

import argparse
import signal
import sys
import threading
from collections.abc import Sequence

from waitress.server import create_server

from hibiscuspin.edges.wsgi import Route, WsgiApp
from hibiscuspin.settings import parse_address
from standins.faults import Faults

__all__ = ["argument_parser", "serve"]

THREADS = 300
CONNECTION_LIMIT = 4000
LONGEST_STOP_S = 1.0


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", type=parse_address, required=True)
    parser.add_argument("--threads", type=int, default=THREADS)
    return parser


def serve(
    args: argparse.Namespace, routes: Sequence[Route], faults: Faults
) -> None:
    """Serves until SIGTERM or SIGINT, then closes without draining."""
    app = WsgiApp(
        [*faults.routes(), *routes],
        max_body_bytes=1 << 26,
        allows_unknown_fields=True,
    )
    server = create_server(
        faults.wrap(app),
        host=args.address.host,
        port=args.address.port,
        threads=args.threads,
        channel_timeout=600,
        connection_limit=CONNECTION_LIMIT,
        asyncore_use_poll=True,
        channel_request_lookahead=1,
        clear_untrusted_proxy_headers=True,
    )
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    threading.Thread(target=server.run, daemon=True).start()
    print(f"ready {args.address}", file=sys.stderr, flush=True)
    stop.wait()
    server.close()
