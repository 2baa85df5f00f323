"""Pydantic models of the configuration as it is written in YAML."""

from pydantic import BaseModel, ConfigDict, Field

from berylspool.version.configuration import (
    Configuration,
    Limits,
    Route,
    Service,
    Upstream,
    Version,
    Zone,
    check_references,
)

__all__ = ["ConfigurationModel", "to_configuration"]

ADDRESS_PATTERN = r"^[0-9.]+:\d{1,5}$"


class StrictModel(BaseModel):
    """Base class of all models; it rejects unknown keys."""

    model_config = ConfigDict(extra="forbid")


class LimitsModel(StrictModel):
    """Limits on the load of one upstream."""

    slots: int = Field(3, ge=1, le=10_000)
    connections: int = Field(30, ge=2, le=100_000)
    cold_slots: int = Field(1, ge=1)
    ramp_s: float = Field(4.0, ge=0)


class UpstreamModel(StrictModel):
    """One back end of a service."""

    address: str = Field(pattern=ADDRESS_PATTERN)
    zone: str
    version: str


class ServiceModel(StrictModel):
    """A service and its upstreams."""

    zones: list[str] = []
    limits: LimitsModel = LimitsModel()
    upstreams: dict[str, UpstreamModel] = {}


class VersionModel(StrictModel):
    """An index version and its partition map."""

    partition: int = Field(1, ge=1)
    services: list[str] = Field(min_length=1)


class RouteModel(StrictModel):
    """A route and its versions."""

    stable: str
    versions: dict[str, VersionModel] = Field(min_length=1)


class ConfigurationModel(StrictModel):
    """A whole configuration."""

    zones: list[str] = []
    services: dict[str, ServiceModel] = {}
    routes: dict[str, RouteModel] = {}


def to_configuration(model: ConfigurationModel) -> Configuration:
    """Convert a validated model to the configuration data class.

    Args:
        model: Model read from YAML.

    Returns:
        Configuration at revision 1.

    Raises:
        ConfigurationError: A name does not resolve.
    """
    configuration = Configuration(
        revision=1,
        zone_by_name={name: Zone(name) for name in model.zones},
        service_by_name={
            name: _to_service(name, service)
            for name, service in model.services.items()
        },
        route_by_name={
            name: _to_route(name, route) for name, route in model.routes.items()
        },
    )
    check_references(configuration)
    return configuration


def _to_service(name: str, model: ServiceModel) -> Service:
    return Service(
        name,
        tuple(model.zones),
        Limits(**model.limits.model_dump()),
        {
            id: _to_upstream(id, upstream_model)
            for id, upstream_model in model.upstreams.items()
        },
    )


def _to_upstream(id: str, model: UpstreamModel) -> Upstream:
    host, _, port = model.address.rpartition(":")
    return Upstream(id, host, int(port), model.zone, model.version)


def _to_route(name: str, model: RouteModel) -> Route:
    version_by_name = {
        version: Version(
            version, version_model.partition, tuple(version_model.services)
        )
        for version, version_model in model.versions.items()
    }
    return Route(name, model.stable, version_by_name)
