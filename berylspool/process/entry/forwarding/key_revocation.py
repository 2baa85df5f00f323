"""Requests in flight whose API keys a newer plan may revoke."""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from berylspool.request.forward_request import ForwardRequest
from berylspool.request.request_task import RequestTask
from berylspool.version.customer.identity import Unidentified, identify
from berylspool.version.forwarding import ForwardPlan, ForwardRoute, find_route

__all__ = ["KeyRevocation"]


@dataclass(frozen=True, slots=True)
class _AdmittedRequest:
    """A request and the route by which it was admitted."""

    request: ForwardRequest
    route: ForwardRoute


class KeyRevocation:
    """Tells requests in flight that their keys are no longer valid.

    A request keeps the customer and the rank with which it was admitted as long
    as any customer of the newest plan has its key.
    """

    def __init__(self) -> None:
        self._admitted_by_task: dict[RequestTask, _AdmittedRequest] = {}
        self._plan = ForwardPlan()

    @contextlib.contextmanager
    def track(
        self, task: RequestTask, request: ForwardRequest, route: ForwardRoute
    ) -> Iterator[None]:
        """Watch the key of a request within the context."""
        self._admitted_by_task[task] = _AdmittedRequest(request, route)
        try:
            yield
        finally:
            del self._admitted_by_task[task]

    def apply(self, plan: ForwardPlan) -> None:
        """Notify the requests that the plan in force would refuse."""
        if plan is self._plan:
            return
        self._plan = plan
        for task, admitted in self._admitted_by_task.items():
            if _is_revoked(plan, admitted):
                task.notify_key_revoked()


def _is_revoked(plan: ForwardPlan, admitted: _AdmittedRequest) -> bool:
    request = admitted.request
    route = find_route(plan, request.host, request.path) or admitted.route
    identity = identify(plan.customers, route.is_public, request.api_keys)
    return isinstance(identity, Unidentified)
