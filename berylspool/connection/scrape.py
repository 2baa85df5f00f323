"""HTTP endpoint for Prometheus scrapes."""

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.metric import Metrics, render_exposition
from berylspool.connection.listen import listen

__all__ = ["MetricsHandler", "ScrapeServer"]


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
        self._server = HTTPServer(application)

    def listen(self, address: str) -> None:
        """Start to accept connections on `host:port`."""
        listen(self._server, address)
