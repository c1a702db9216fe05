"""Process that runs a node and its HTTP servers beside one upstream."""

from __future__ import annotations

import logging

from jayswitch.http.admin_app import AdminApplication
from jayswitch.http.caller_app import CallerApplication
from jayswitch.http.server import HttpServer
from jayswitch.node.factory import NodeFactory
from jayswitch.node.node import Node
from jayswitch.settings.generated import NodeSettings
from jayswitch.store.interface import Store

LATE_REQUEST_GRACE_MS = 300.0

logger = logging.getLogger(__name__)


class NodeProcess:
    """A node with HTTP servers for callers and operators."""

    def __init__(self, node: Node, settings: NodeSettings) -> None:
        """Binds every port, so that a port in use is reported at start-up."""
        self.node = node
        self._caller_app = CallerApplication(node.parts.router, settings.max_body_bytes)
        self.callers = HttpServer(
            settings.bind_ip, settings.caller_port, self._caller_app
        )
        self.admin = HttpServer(
            settings.bind_ip, settings.admin_port, AdminApplication(node)
        )

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, store: Store | None = None
    ) -> NodeProcess:
        """Returns a process that is not started yet."""
        node = NodeFactory.from_settings(settings, store).make()
        return cls(node, settings)

    def start(self) -> None:
        """Starts the node and its servers."""
        self.node.start()
        self.admin.start()
        self.callers.start()
        logger.info("started", extra={"callers": self.callers.address})

    def stop(self) -> bool:
        """Stops gracefully; returns False if requests were still in flight."""
        logger.info("draining")
        self._caller_app.draining = True
        drained = self.node.drain(self.callers.stop_accepting)
        drained = self._finish_late_requests() and drained
        self.callers.stop()
        self.admin.stop()
        self.node.stop()
        logger.info("stopped", extra={"drained": drained})
        return drained

    def _finish_late_requests(self) -> bool:
        """Serves callers that connected just before the port was closed."""
        self.node.parts.clock.sleep_ms(LATE_REQUEST_GRACE_MS)
        return self.node.wait_until_idle()
