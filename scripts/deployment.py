"""Writes the settings of an example deployment on loopback.

Usage: python scripts/deployment.py trust|collective|demo > FILE
"""

import sys
from dataclasses import dataclass

import yaml


@dataclass(frozen=True)
class DeploymentSize:
    """Sizes of a deployment, as specified by its operators.

    A wide route fans out to many services, a narrow route has one service.

    Attributes:
        zones: Names of the zones.
        entries: Number of entries.
        controls: Number of control nodes.
        service_count_by_wide_route: Number of services of each wide route.
        wide_slots: Concurrent parts of each upstream of a wide route.
        wide_connections: Connections of each upstream of a wide route.
        upstream_count_by_narrow_route: Number of upstreams per version of each
            narrow route.
        narrow_slots: Concurrent parts of each upstream of a narrow route.
        narrow_connections: Connections of each upstream of a narrow route.
        first_port: First port of the deployment.
    """

    zones: tuple[str, ...]
    entries: int
    controls: int
    service_count_by_wide_route: dict[str, int]
    wide_slots: int
    wide_connections: int
    upstream_count_by_narrow_route: dict[str, int]
    narrow_slots: int
    narrow_connections: int
    first_port: int


SIZE_BY_EXAMPLE = {
    "trust": DeploymentSize(
        ("leicester", "derby", "nottingham"),
        8,
        3,
        {"pitch-lookup": 20, "complaints-desk": 30},
        3,
        30,
        {"fee-notices": 10, "fair-calendar": 4},
        3,
        100,
        21000,
    ),
    "collective": DeploymentSize(
        ("khulna", "barisal", "jessore", "satkhira"),
        8,
        3,
        {"door-check-in": 20, "booking": 30},
        2,
        25,
        {"shift-scheduling": 4, "guest-messaging": 4},
        4,
        45,
        23000,
    ),
    "demo": DeploymentSize(
        ("leicester", "derby", "nottingham"),
        3,
        3,
        {"pitch-lookup": 6},
        3,
        30,
        {"fee-notices": 4},
        3,
        100,
        25000,
    ),
}


def loopback_address(port: int) -> str:
    """Return the loopback address with a port."""
    return f"127.0.0.1:{port}"


def build_settings(size: DeploymentSize) -> dict:
    """Return the settings of a deployment of the given size."""
    port = size.first_port
    zones = size.zones
    entries, controls, services, routes = {}, {}, {}, {}
    for i in range(size.entries):
        entries[f"entry-{i + 1}"] = {
            "address": loopback_address(port + i),
            "peer_address": loopback_address(port + 100 + i),
            "zone": zones[i % len(zones)],
        }
    for i in range(size.controls):
        controls[f"control-{i + 1}"] = {
            "address": loopback_address(port + 200 + i),
            "admin_address": loopback_address(port + 300 + i),
            "zone": zones[i % len(zones)],
            "data_folder": f"var/control-{i + 1}",
        }
    port += 400
    for route, count in size.service_count_by_wide_route.items():
        service_names = []
        for i in range(count):
            name = f"{route}-{i:02d}"
            service_names.append(name)
            upstreams = {}
            for version in ("v1", "v2"):
                for copy in "ab":
                    zone = zones[(i + "ab".index(copy)) % len(zones)]
                    upstreams[f"{name}-{version}-{copy}"] = {
                        "address": loopback_address(port),
                        "zone": zone,
                        "version": version,
                    }
                    port += 1
            services[name] = {
                "limits": {
                    "slots": size.wide_slots,
                    "connections": size.wide_connections,
                },
                "upstreams": upstreams,
            }
        routes[route] = make_route(service_names)
    for route, count in size.upstream_count_by_narrow_route.items():
        upstreams = {}
        for version in ("v1", "v2"):
            for i in range(count):
                upstreams[f"{route}-{version}-{i:02d}"] = {
                    "address": loopback_address(port),
                    "zone": zones[i % len(zones)],
                    "version": version,
                }
                port += 1
        services[route] = {
            "limits": {
                "slots": size.narrow_slots,
                "connections": size.narrow_connections,
            },
            "upstreams": upstreams,
        }
        routes[route] = make_route([route])
    return {
        "entries": entries,
        "controls": controls,
        "initial": {
            "zones": list(zones),
            "services": services,
            "routes": routes,
        },
    }


def make_route(service_names: list[str]) -> dict:
    """Return the settings of a route to services, with version v1 stable."""
    return {
        "stable": "v1",
        "versions": {"v1": {"partition": 1, "services": service_names}},
    }


if __name__ == "__main__":
    yaml.safe_dump(
        build_settings(SIZE_BY_EXAMPLE[sys.argv[1]]),
        sys.stdout,
        sort_keys=False,
    )
