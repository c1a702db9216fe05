"""Baseline proxy: forwards requests with eventlet's WSGI server and urllib3 only."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402

import eventlet  # noqa: E402
import urllib3  # noqa: E402

from jayswitch.http.server import HttpServer  # noqa: E402


def main() -> None:
    """Takes the IP address and port to listen on and the upstream's base URL."""
    ip, port, upstream = sys.argv[1:4]
    pool = urllib3.connectionpool.connection_from_url(upstream, maxsize=64)

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        environ["wsgi.input"].read()
        method, path = environ["REQUEST_METHOD"], environ["RAW_PATH_INFO"]
        response = pool.urlopen(method, path, retries=False)
        start_response(f"{response.status} OK", list(response.headers.items()))
        return [response.data]

    HttpServer(ip, int(port), application).start()
    runtime.tune_garbage_collection()
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main()
