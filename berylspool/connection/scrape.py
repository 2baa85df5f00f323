"""HTTP for whoever collects metrics."""

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.metric import Metrics, exposition
from berylspool.connection.listen import listen

__all__ = ["MetricsHandler", "ScrapeServer"]


class MetricsHandler(RequestHandler):
    """Metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        """Keep the sums of the process."""
        self.metrics = metrics

    def get(self) -> None:
        """Export the sums."""
        body, content_type = exposition(self.metrics)
        self.set_header("Content-Type", content_type)
        self.finish(body)


class ScrapeServer:
    """Listens for scrapes at `/metrics`.

    Args:
        metrics: Sums of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        application = Application(
            [(r"/metrics", MetricsHandler, {"metrics": metrics})],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)

    def listen(self, address: str) -> None:
        """Start to answer."""
        listen(self._server, address)
