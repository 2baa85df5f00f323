"""A forwarding entry with one wide route, and requests to it."""

import asyncio

from berylspool.platform.document import decode_plan
from berylspool.platform.tests.test_forwarding import (
    HOST,
    make_document,
    make_route,
)
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.process.log import LogTask
from berylspool.process.settings import EntrySettings, RoutingSettings, Settings
from berylspool.request.forward_request import ForwardRequest
from berylspool.version.configuration import Configuration


async def start_wide_entry(
    clock,
    listing,
    services,
    entries,
    route_changes,
    processor_share=0.0,
    **settings_changes,
):
    """Start an entry, with the log settings of the platform.

    Args:
        clock: Returns the time of the entry in seconds.
        listing: Upstreams of the services.
        services: Services of the route.
        entries: Number of entries that share the upstreams.
        route_changes: Fields of the route.
        processor_share: Share of a core that the entry has; 0 if unknown.
        **settings_changes: Settings to add.

    Returns:
        The entry and the task of its router.
    """
    entry = EntrySettings(
        address="127.0.0.1:1", peer_address="127.0.0.1:2", zone="z0"
    )
    forwarder = Forwarder(
        "e1",
        Settings(
            entries={"e1": entry},
            routing=RoutingSettings(processor_share=processor_share),
            **settings_changes,
        ),
        decode=decode_plan,
        transport=PlatformTransport(clock),
        control_port=None,
        clock=clock,
        log=LogTask(holds_part_lines=True),
    )
    router = asyncio.ensure_future(forwarder.router.run())
    forwarder.router.inbox.put(LeaseGranted(float("inf")))
    fields = {"fanout-services": services, **route_changes}
    route = make_route("wide", "/w/", **fields)
    forwarder.state.set_configuration(
        Configuration(1, document=make_document([route], services))
    )
    forwarder.state.set_entry_count(entries)
    forwarder.state.set_listing(listing)
    await forwarder.state.initialized.wait()
    return forwarder, router


async def ask_wide(forwarder, id, deadline_s):
    """Return the outcome of a request to the wide route."""
    request = ForwardRequest(
        id=id,
        method="GET",
        host=HOST,
        path="/w/1",
        target="/w/1",
        headers=(("Host", HOST), ("X-Request-Id", id)),
        body=b"",
        deadline_s=deadline_s,
    )
    return await forwarder.handler.answer(request, asyncio.Event())
