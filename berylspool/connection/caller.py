"""HTTP API for callers, as documented in docs/CALLERS.md."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from berylspool.common.event import Event, RequestRefused
from berylspool.common.metric import (
    Metrics,
    increment_counter,
    record_latency,
    render_exposition,
)
from berylspool.common.published_value import PublishedValue
from berylspool.connection.listen import listen
from berylspool.request.fingerprint import fingerprint
from berylspool.request.query import Answer, Outcome, Query, Reason, Refusal

__all__ = ["CallerServer", "HandlerState", "http_status", "outcome_body"]

MAX_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 5.0
IDLE_CONNECTION_TIMEOUT_S = 120.0
MAX_DEADLINE_MS = 60_000

STATUS_BY_REASON = {
    Reason.INVALID: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.KEY_REUSED: 409,
    Reason.IN_PROGRESS: 409,
    Reason.QUARANTINED: 422,
    Reason.TIMEOUT: 504,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}


class QueryBody(BaseModel):
    """JSON body of a query."""

    model_config = ConfigDict(extra="forbid")

    route: str
    query: Any
    deadline_ms: int = Field(ge=1, le=MAX_DEADLINE_MS)
    request_id: str = Field("", max_length=128)
    min_coverage: float = Field(0.0, ge=0, le=1)


class CommandBody(QueryBody):
    """JSON body of a non-idempotent request."""

    key: str = Field(min_length=1, max_length=128)


@dataclass(slots=True)
class HandlerState:
    """State that the request handlers of one entry share.

    Attributes:
        name: Name of the entry.
        nonce: Unique for each start of the process.
        answer: Coroutine function that returns the outcome of a query once
            the outcome may be sent to the caller.  Its second argument is
            set when the caller disconnects.
        clock: Returns the monotonic time in seconds.
        log: Receives log events.
        is_ready: Whether the load balancer may open new connections.
        metrics: Metrics of the process.
        in_flight: Number of requests without an outcome.
        issued_ids: Number of request ids that were issued.
    """

    name: str
    nonce: str
    answer: Callable[[Query, asyncio.Event], Any]
    clock: Callable[[], float]
    log: Callable[[Event], None]
    is_ready: PublishedValue[bool]
    metrics: Metrics = field(default_factory=Metrics)
    in_flight: int = 0
    issued_ids: int = 0

    def new_request_id(self) -> str:
        """Return a request id that is unique across all entries."""
        self.issued_ids += 1
        return f"{self.name}.{self.nonce}.{self.issued_ids}"


def http_status(outcome: Outcome) -> int:
    """Return the HTTP status of an outcome.

    Examples:
        >>> http_status(Refusal("r", Reason.OVERLOAD, True, 0.1))
        503
    """
    match outcome:
        case Answer():
            return 200
        case Refusal(reason=reason):
            return STATUS_BY_REASON.get(reason, 503)


def outcome_body(outcome: Outcome, request_id: str) -> dict[str, Any]:
    """Return the JSON body of an outcome."""
    match outcome:
        case Answer(snapshot=snapshot, coverage=coverage):
            return {
                "request_id": request_id,
                "rows": outcome.rows,
                "snapshot": {
                    "index_version": snapshot.version,
                    "partition_revision": snapshot.partition,
                },
                "coverage": {
                    "shards_total": coverage.total,
                    "shards_answered": coverage.answered,
                    "missing": {
                        str(shard): str(reason)
                        for shard, reason in coverage.missing.items()
                    },
                },
                "attempts": outcome.attempts,
            }
        case Refusal(reason=reason, not_run=not_run):
            return {
                "request_id": request_id,
                "error": str(reason),
                "outcome": "not_run" if not_run else "unknown",
                "retry_after_s": outcome.retry_after_s,
            }


class EntryHandler(RequestHandler):
    """Base class of the handlers of an entry."""

    def initialize(self, state: HandlerState) -> None:
        """Set the shared state of the entry."""
        self.state = state
        self.caller_gone = asyncio.Event()

    def on_connection_close(self) -> None:
        """Record that the caller disconnected."""
        self.caller_gone.set()

    def write_json(self, status: int, body: dict[str, Any]) -> None:
        """Write a JSON response.

        While the entry is not ready, the response carries
        `Connection: close`.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if not self.state.is_ready.value:
            self.set_header("Connection", "close")
        self.finish(orjson.dumps(body))

    def write_outcome(self, outcome: Outcome, request_id: str) -> None:
        """Write the response of an answer or a refusal."""
        if isinstance(outcome, Refusal):
            retry_after_s = max(1, round(outcome.retry_after_s))
            self.set_header("Retry-After", str(retry_after_s))
        body = outcome_body(outcome, request_id)
        self.write_json(http_status(outcome), body)


class QueryHandler(EntryHandler):
    """Handles queries and, by its subclass, commands.

    Attributes:
        model: Model of the request body.
    """

    model: type[QueryBody] = QueryBody

    async def post(self) -> None:
        """Execute one request and write its outcome."""
        started_at = self.state.clock()
        try:
            body = self.model.model_validate_json(self.request.body)
        except ValidationError as error:
            self._reject_body(error)
            return
        query = self._build_query(body, started_at)
        self.state.in_flight += 1
        try:
            outcome = await self.state.answer(query, self.caller_gone)
        finally:
            self.state.in_flight -= 1
        self._record_outcome(query, outcome, started_at)
        if not self.caller_gone.is_set():
            self.write_outcome(outcome, body.request_id or query.id)

    def _build_query(self, body: QueryBody, started_at: float) -> Query:
        query_json = orjson.dumps(
            body.query, option=orjson.OPT_SORT_KEYS
        ).decode()
        return Query(
            id=self.state.new_request_id(),
            route=body.route,
            body=query_json,
            deadline=started_at + body.deadline_ms / 1000,
            fingerprint=fingerprint(body.route, query_json),
            key=body.key if isinstance(body, CommandBody) else None,
            min_coverage=body.min_coverage,
        )

    def _reject_body(self, error: ValidationError) -> None:
        details = error.errors(
            include_input=False, include_url=False, include_context=False
        )
        event = RequestRefused("", "", Reason.INVALID, not_run=True)
        self.state.log(event)
        body = {
            "error": str(Reason.INVALID),
            "outcome": "not_run",
            "details": [
                {"at": list(item["loc"]), "expected": item["msg"]}
                for item in details
            ],
        }
        self.write_json(400, body)

    def _record_outcome(
        self, query: Query, outcome: Outcome, started_at: float
    ) -> None:
        metrics = self.state.metrics
        match outcome:
            case Answer(coverage=coverage):
                outcome_label = "whole" if coverage.is_whole else "partial"
                latency_s = self.state.clock() - started_at
                record_latency(metrics, query.route, latency_s)
            case Refusal(reason=reason, not_run=not_run):
                outcome_label = str(reason)
                event = RequestRefused(query.id, query.route, reason, not_run)
                self.state.log(event)
        name = "berylspool_requests_total"
        increment_counter(
            metrics, name, route=query.route, outcome=outcome_label
        )


class CommandHandler(QueryHandler):
    """Handles non-idempotent requests."""

    model = CommandBody


class HealthHandler(EntryHandler):
    """Liveness check of the process."""

    def get(self) -> None:
        """Return status 200."""
        self.write_json(200, {"status": "ok"})


class ReadyHandler(EntryHandler):
    """Readiness check of the load balancer."""

    def get(self) -> None:
        """Return 200 if new connections are welcome, else 503."""
        if self.state.is_ready.value:
            self.write_json(200, {"status": "ready"})
        else:
            self.write_json(503, {"status": "not_ready"})


class EntryMetricsHandler(EntryHandler):
    """Serves the metrics in the Prometheus text format."""

    def get(self) -> None:
        """Return the current metrics."""
        body, content_type = render_exposition(self.state.metrics)
        self.set_header("Content-Type", content_type)
        self.finish(body)


ROUTES: list[tuple[str, type[EntryHandler]]] = [
    (r"/v1/query", QueryHandler),
    (r"/v1/command", CommandHandler),
    (r"/healthz", HealthHandler),
    (r"/readyz", ReadyHandler),
    (r"/metrics", EntryMetricsHandler),
]


class CallerServer:
    """HTTP server of the API for callers.

    Args:
        state: State that the handlers share.
    """

    def __init__(self, state: HandlerState) -> None:
        routes = [(path, cls, {"state": state}) for path, cls in ROUTES]
        application = Application(routes, log_function=lambda handler: None)
        self._server = HTTPServer(
            application,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )

    def listen(self, address: str) -> None:
        """Start to accept connections on `host:port`."""
        listen(self._server, address)

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections stay open."""
        self._server.stop()

    async def close(self) -> None:
        """Close each connection once its request is answered."""
        await self._server.close_all_connections()
