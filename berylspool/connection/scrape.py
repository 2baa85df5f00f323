"""HTTP endpoint for Prometheus scrapes."""

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.metric import Metrics, render_exposition
from berylspool.connection.listen import listen

__all__ = ["MetricsHandler", "ScrapeServer"]

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024
# Longer than a scrape interval.
IDLE_TIMEOUT_S = 120.0


class MetricsHandler(RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        """Set the metrics of the process."""
        self.metrics = metrics

    def get(self) -> None:
        """Return the current metrics."""
        body, content_type = render_exposition(self.metrics)
        self.set_header("Content-Type", content_type)
        self.finish(body)


class ScrapeServer:
    """HTTP server that serves only `/metrics`.

    Args:
        metrics: Metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        application = Application(
            [(r"/metrics", MetricsHandler, {"metrics": metrics})],
            log_function=lambda handler: None,
        )
        # A scrape has no body, and a scraper few connections.
        self._server = HTTPServer(
            application,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_HEADER_BYTES + MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address: str) -> None:
        """Start to accept connections on `host:port`."""
        listen(self._server, address)
