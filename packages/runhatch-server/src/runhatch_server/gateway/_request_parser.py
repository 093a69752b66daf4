"""Reads a caller's request: its route, its workspace, its work and its deadline."""

import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import BinaryIO, cast

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    GatewayRequest,
    compute_fingerprint,
    compute_traits,
)
from runhatch_server.gateway._messages import (
    CallerHeaders,
    HeaderCodec,
    InvalidHeader,
)
from runhatch_server.gateway._peer_headers import (
    ForwardedBy,
    apply_forwarded,
    decode_forwarded,
)
from runhatch_server.gateway._workspace_identity import (
    BEHIND_RETRY_DELAY,
    KnownConfiguration,
    identify_workspace,
)
from runhatch_server.http import Environ
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import (
    RouteSpec,
    RouteTable,
    WorkspaceSpec,
    choose_service,
)

NOT_READY_RETRY_DELAY = timedelta(milliseconds=500)
"""Retry delay of a node that has no configuration yet."""
MAX_LOGGED_LENGTH = 80
"""Maximum length in characters of a refused request's host and path in the log."""


class RequestParser:
    """Parses requests by the current routes; thread-safe.

    ``is_current`` returns whether the configuration was confirmed recently enough for a
    request received at a time, ``may_be_behind`` whether this node may lack a newer
    one. With ``is_for_peers``, callers' requests arrive by way of other nodes, which
    have identified their workspaces.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        clock: Clock,
        may_be_behind: Callable[[], bool],
        is_current: Callable[[timedelta], bool] = lambda received_at: True,
        is_for_peers: bool = False,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._may_be_behind = may_be_behind
        self._is_current = is_current
        self._is_for_peers = is_for_peers
        self._random = random.Random()
        self.routes: RouteTable | None = None
        """The current routes, ``None`` before the first configuration."""

    def parse(
        self, environ: Environ, headers: Mapping[str, str]
    ) -> GatewayRequest | Refusal:
        """Parse and validate a request; return a refusal if it is invalid."""
        received_at = self._clock.elapsed()
        routes = self.routes
        if routes is None:
            return Refusal(
                Reason.NOT_READY, Executed.NO, retry_after=NOT_READY_RETRY_DELAY
            )
        route = self._find_route(routes, environ, headers)
        if isinstance(route, Refusal):
            return route
        caller = self._codec.decode_caller(headers)
        if isinstance(caller, InvalidHeader):
            return Refusal(Reason.BAD_HEADER, Executed.NO, caller.detail)
        if not caller.attempt_id:
            return Refusal(Reason.BAD_HEADER, Executed.NO, "the request has no id")
        forwarded = decode_forwarded(headers) if self._is_for_peers else None
        if self._is_for_peers and forwarded is None:
            return Refusal(Reason.BAD_HEADER, Executed.NO, "not from a peer")
        workspace = self._identify(routes, route, caller, forwarded, received_at)
        if isinstance(workspace, Refusal):
            return workspace
        request = self._build(environ, headers, routes, route, caller, received_at)
        request = _assign_workspace(request, routes, workspace, caller)
        return request if forwarded is None else apply_forwarded(request, forwarded)

    def _find_route(
        self, routes: RouteTable, environ: Environ, headers: Mapping[str, str]
    ) -> RouteSpec | Refusal:
        uri = str(environ.get("REQUEST_URI", ""))
        if not uri.startswith("/"):
            detail = f"found target {uri[:MAX_LOGGED_LENGTH]!r}, allowed: a path"
            return Refusal(Reason.BAD_HEADER, Executed.NO, detail)
        route = routes.find(headers.get("host", ""), uri.partition("?")[0])
        if route is not None:
            return route
        if self._may_be_behind():
            # Callers do not retry a 404.
            return Refusal(
                Reason.CONFIGURATION_BEHIND, Executed.NO, retry_after=BEHIND_RETRY_DELAY
            )
        return Refusal(Reason.NO_ROUTE, Executed.NO)

    def _identify(
        self,
        routes: RouteTable,
        route: RouteSpec,
        caller: CallerHeaders,
        forwarded: ForwardedBy | None,
        received_at: timedelta,
    ) -> WorkspaceSpec | Refusal | None:
        if forwarded is not None:
            name = forwarded.workspace
            # A peer may know a workspace that this node does not know yet.
            return routes.workspaces.get(name, WorkspaceSpec(name)) if name else None
        known = KnownConfiguration(self._is_current(received_at), self._may_be_behind())
        return identify_workspace(routes, route, caller.key, known)

    def _build(
        self,
        environ: Environ,
        headers: Mapping[str, str],
        routes: RouteTable,
        route: RouteSpec,
        caller: CallerHeaders,
        received_at: timedelta,
    ) -> GatewayRequest:
        time_left = route.timeout
        if caller.time_left is not None:
            time_left = min(time_left, caller.time_left)
        method = str(environ.get("REQUEST_METHOD"))
        uri = str(environ.get("REQUEST_URI", ""))
        host = headers.get("host", "").lower()
        body = cast(BinaryIO, environ["wsgi.input"]).read()
        return GatewayRequest(
            attempt_id=caller.attempt_id,
            route=route,
            service=choose_service(route, self._random),
            method=method,
            uri=uri,
            forwarded_headers=caller.forwarded,
            body=body,
            received_at=received_at,
            goal_at=received_at + min(route.goal, time_left),
            deadline=received_at + time_left,
            work=caller.work,
            last_event_id=caller.last_event,
            resumes=caller.resumes,
            configuration_version=routes.version,
            fingerprint=compute_fingerprint(method, host, uri, body),
            traits=compute_traits(caller.work),
        )


def _assign_workspace(
    request: GatewayRequest,
    routes: RouteTable,
    workspace: WorkspaceSpec | None,
    caller: CallerHeaders,
) -> GatewayRequest:
    """Return ``request`` for its workspace, with the headers that its target gets."""
    if not routes.has_workspaces:
        headers = caller.forwarded + caller.credentials
        return replace(request, forwarded_headers=headers)
    if workspace is None:
        return request
    cap = workspace.cap
    usage = 0.0 if cap is None else cap.cost(caller.stated_tokens)
    return replace(request, workspace=workspace, usage=usage)
