"""Decoding of the operator's configuration from the platform's JSON."""

import secrets
import zlib
from typing import Any

import orjson
from pydantic import Field, ValidationError, field_validator

from berylspool.exception import ConfigurationError
from berylspool.platform.model import PlatformModel, describe_error
from berylspool.version.configuration import Document
from berylspool.version.customer.table import (
    Customer,
    CustomerTable,
    make_customer_table,
)
from berylspool.version.forwarding import (
    CallerLimits,
    ForwardPlan,
    ForwardRoute,
    ForwardService,
    Target,
)

__all__ = ["decode_plan", "pack_document", "read_document", "unpack_document"]

MS_PER_S = 1000.0
IDEMPOTENT_ROUTE_TYPE = "idempotent"
DEFAULT_CONNECTIONS = 16
# Eleven days in milliseconds; larger numbers are taken for mistakes.
MAX_NUMBER = 10**9
# Secret of the hashes of API keys; no other process has it.
KEY_SECRET = secrets.token_bytes(32)


class SplitModel(PlatformModel):
    """One target of a route whose traffic is split.

    Attributes:
        service: Service that receives the share.
        weight: Share of the requests, relative to the other targets.
    """

    service: str
    weight: float = Field(ge=0)


class RouteModel(PlatformModel):
    """A route.

    Attributes:
        name: Unique name of the route.
        host: Host name of its requests.
        path_prefix: Prefix of their paths.
        route_type: `idempotent` if a request may be repeated; any other
            value forbids it.
        timeout_ms: Maximum time to an answer, in milliseconds.
        target_latency_ms: Time within which an answer is most valuable, in
            milliseconds; 0 if none is stated.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that may run one request,
            or one part of it.
        service: The only service of the route, or None.
        traffic_split: Services with their weights, in place of `service`.
        fanout_services: One service for each shard, in place of `service`.
        top_k: Maximum number of records in an answer merged from shards.
        min_shard_ratio: Minimum share of the shards that an answer must
            cover, from 0 to 1.
        public: Whether its requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = Field(1, ge=1)
    service: str | None = None
    traffic_split: tuple[SplitModel, ...] = ()
    fanout_services: tuple[str, ...] = ()
    top_k: int = Field(0, ge=0)
    min_shard_ratio: float = 0.0
    public: bool = False


class ServiceModel(PlatformModel):
    """A service.

    Attributes:
        name: Unique name of the service.
        max_connections: Maximum number of open connections that one upstream
            accepts.
        warmup_s: Time for which an upstream is cold after its start, in
            seconds.
        warmup_per_s: Requests per second that a cold upstream can serve; 0
            if there is no limit.
    """

    name: str
    max_connections: int = DEFAULT_CONNECTIONS
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class TenantModel(PlatformModel):
    """A customer.

    Attributes:
        name: Unique name of the customer.
        api_keys: Keys that its requests may carry.
        priority: Priority of its requests, in place of that of their routes;
            None leaves the route's.
    """

    name: str
    api_keys: tuple[str, ...] = Field(repr=False)
    priority: int | None = None


class LimitsModel(PlatformModel):
    """Limits on the requests of each caller; 0 leaves a default in force.

    Attributes:
        max_header_bytes: Length of a request's head.
        max_body_bytes: Length of a request's body.
        header_timeout_ms: Time for a head to arrive, in milliseconds.
        idle_timeout_ms: Time without a byte after which a connection is
            closed, in milliseconds.
    """

    max_header_bytes: int = Field(0, ge=0, le=MAX_NUMBER)
    max_body_bytes: int = Field(0, ge=0, le=MAX_NUMBER)
    header_timeout_ms: float = Field(0.0, ge=0, le=MAX_NUMBER)
    idle_timeout_ms: float = Field(0.0, ge=0, le=MAX_NUMBER)


class ConfigurationModel(PlatformModel):
    """A complete configuration.

    Attributes:
        version: Number that the operator gave the configuration.
        routes: All routes.
        services: All services.
        tenants: All customers; None if requests need no API key.
        limits: Limits on the requests of each caller, as in `LimitsModel`.
    """

    version: int = Field(ge=0)
    routes: tuple[RouteModel, ...]
    services: tuple[ServiceModel, ...]
    limits: Any = None
    tenants: tuple[TenantModel, ...] | None = None

    @field_validator("tenants")
    @classmethod
    def _check_tenants(
        cls, tenants: tuple[TenantModel, ...] | None
    ) -> tuple[TenantModel, ...]:
        """Refuse `null`, which would open all routes if it meant no list."""
        if tenants is None:
            raise ValueError("not a list")
        return tenants


def read_document(text: bytes) -> tuple[Document, ForwardPlan]:
    """Validate a configuration that an operator sent.

    Args:
        text: Body of the operator's request.

    Returns:
        The document to replicate, and the plan decoded from it.

    Raises:
        ConfigurationError: The text cannot be decoded, or is inconsistent.
    """
    model = _read_model(text)
    _check_numbers(model)
    try:
        limits = _to_caller_limits(model)
    except ValidationError as error:
        details = error.errors(include_input=False, include_url=False)
        raise ConfigurationError(f"limits: {details}") from error
    plan = _to_plan(model, limits)
    return pack_document(plan.number, text), plan


def _check_numbers(model: ConfigurationModel) -> None:
    """Check numbers that a plan accepted by an earlier build may lack.

    Raises:
        ConfigurationError: A number is negative, or too large.
    """
    largest_by_field = {"min_shard_ratio": 1.0}
    items: tuple[RouteModel | ServiceModel, ...]
    items = (*model.routes, *model.services)
    for tenant in model.tenants or ():
        if not 0 <= (tenant.priority or 0) <= MAX_NUMBER:
            raise ConfigurationError(
                f"priority of a customer is not from 0 to {MAX_NUMBER}"
            )
    for item in items:
        for field, value in item:
            is_number = isinstance(value, int | float)
            largest = largest_by_field.get(field, MAX_NUMBER)
            if is_number and not 0 <= value <= largest:
                raise ConfigurationError(
                    f"{item.name!r}: {field} is not from 0 to {largest}"
                )


def pack_document(number: int, text: bytes) -> Document:
    """Compress a text into a document.

    Lists of services repeat in every route, so the text shrinks to a
    twentieth of its size.  The replicated log, the disks and all entries
    hold only the compressed form.
    """
    return Document(number, zlib.compress(text))


def unpack_document(document: Document) -> bytes:
    """Return the text of a document, exactly as the operator sent it."""
    return zlib.decompress(document.body)


def decode_plan(document: Document) -> ForwardPlan:
    """Decode the plan of a document that `read_document` has validated.

    Raises:
        ConfigurationError: The text cannot be decoded, or is inconsistent.
    """
    if not document.number:
        return ForwardPlan()
    model = _read_model(unpack_document(document))
    try:
        limits = _to_caller_limits(model)
    except ValidationError:
        # An earlier build accepted the plan without reading its limits.
        limits = CallerLimits()
    return _to_plan(model, limits)


def _read_model(text: bytes) -> ConfigurationModel:
    try:
        data: Any = orjson.loads(text)
        return ConfigurationModel.model_validate(data)
    except ValidationError as error:
        raise ConfigurationError(describe_error(error)) from None
    except ValueError as error:
        raise ConfigurationError(f"invalid JSON: {error}") from None


def _to_plan(model: ConfigurationModel, limits: CallerLimits) -> ForwardPlan:
    service_by_name = {
        service.name: ForwardService(
            service.name,
            service.max_connections,
            service.warmup_s,
            service.warmup_per_s,
        )
        for service in model.services
    }
    route_by_host_and_prefix: dict[tuple[str, str], ForwardRoute] = {}
    for route_model in model.routes:
        route = _to_route(route_model)
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in route_by_host_and_prefix:
            raise ConfigurationError(
                f"two routes with host and prefix {host_and_prefix}"
            )
        for target in route.targets:
            for name in target.services:
                if name not in service_by_name:
                    raise ConfigurationError(
                        f"route {route.name!r}: unknown service {name!r}"
                    )
        route_by_host_and_prefix[host_and_prefix] = route
    routes_by_host: dict[str, list[ForwardRoute]] = {}
    for route in route_by_host_and_prefix.values():
        routes_by_host.setdefault(route.host, []).append(route)
    return ForwardPlan(
        model.version,
        {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in routes_by_host.items()
        },
        service_by_name,
        customers=(
            _to_customers(model.tenants) if model.tenants is not None else None
        ),
        caller_limits=limits,
    )


def _to_caller_limits(configuration: ConfigurationModel) -> CallerLimits:
    """Return the limits of callers.

    Raises:
        ValidationError: They cannot be used.
    """
    if configuration.limits is None:
        return CallerLimits()
    model = LimitsModel.model_validate(configuration.limits)
    default = CallerLimits()
    return CallerLimits(
        model.max_header_bytes or default.max_head_bytes,
        model.max_body_bytes or default.max_body_bytes,
        model.header_timeout_ms / MS_PER_S or default.head_timeout_s,
        model.idle_timeout_ms / MS_PER_S or default.idle_timeout_s,
    )


def _to_customers(models: tuple[TenantModel, ...]) -> CustomerTable:
    for position, model in enumerate(models):
        if not _fits_in_header(model.name):
            raise ConfigurationError(
                f"customer {position}: no header can hold its name"
            )
    return make_customer_table(
        (
            (Customer(model.name, model.priority), model.api_keys)
            for model in models
        ),
        KEY_SECRET,
    )


def _fits_in_header(text: str) -> bool:
    """Return whether a text arrives unchanged as the value of a header."""
    is_trimmed = text.strip(" \t") == text
    return is_trimmed and not any(c < " " or c == "\x7f" for c in text)


def _to_route(model: RouteModel) -> ForwardRoute:
    return ForwardRoute(
        name=model.name,
        host=model.host.lower(),
        prefix=model.path_prefix,
        is_idempotent=model.route_type == IDEMPOTENT_ROUTE_TYPE,
        timeout_s=model.timeout_ms / MS_PER_S,
        target_latency_s=model.target_latency_ms / MS_PER_S,
        rank=model.priority,
        max_attempts=model.max_attempts,
        targets=_to_targets(model),
        max_records=model.top_k if model.fanout_services else 0,
        min_coverage=model.min_shard_ratio,
        is_public=model.public,
    )


def _to_targets(model: RouteModel) -> tuple[Target, ...]:
    if model.fanout_services:
        return (Target(model.fanout_services),)
    if model.traffic_split:
        targets = tuple(
            Target((split.service,), split.weight)
            for split in model.traffic_split
        )
        if sum(target.weight for target in targets) <= 0:
            raise ConfigurationError(
                f"route {model.name!r}: the weights of its targets add up to 0"
            )
        return targets
    if model.service is None:
        raise ConfigurationError(f"route {model.name!r}: no service is set")
    return (Target((model.service,)),)
