"""WSGI application of the operators' HTTP interface."""

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, BinaryIO, cast
from urllib.parse import parse_qs

from pydantic import Field, TypeAdapter, ValidationError

from runhatch_coordination import Revision, Unavailable, Unknown
from runhatch_server.configuration import (
    Applied,
    ApplyOutcome,
    ConfigurationService,
    Invalid,
    Overruled,
    format_difference,
)
from runhatch_server.observability import Metrics, TraceLog, log_change
from runhatch_server.operations._access import Access, Operator
from runhatch_server.operations._commands import COMMAND_ADAPTER, CommandService
from runhatch_server.operations._nouns import Inventory
from runhatch_server.operations._query import Query, QueryError, run_query
from runhatch_server.operations._where import RouteService, UnknownNameError
from runhatch_server.placement import PlacementService, explain_placement, plan
from runhatch_server.settings import OperatorRole
from runhatch_server.validation import StrictModel, format_validation_errors

MAX_BODY_BYTES = 16_777_216
PROBLEM_CONTENT_TYPE = "application/problem+json"
JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Environ = Mapping[str, object]


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response to an operator."""

    status: int
    body: bytes
    content_type: str = JSON_CONTENT_TYPE


@dataclass(frozen=True, slots=True)
class Call:
    """An authenticated call with its body and query arguments."""

    operator: Operator
    body: bytes
    arguments: Mapping[str, str]


class ApplyBody(StrictModel):
    """A new configuration based on revision ``base``."""

    base: int = Field(ge=0)
    document: dict[str, object]
    note: str = Field(default="", max_length=200)


Handler = Callable[[Call], Response]


@dataclass(frozen=True, slots=True)
class _Endpoint:
    role: OperatorRole
    handler: Handler


class OperatorApp:
    """Serves operators, monitoring and the command line."""

    def __init__(
        self,
        access: Access,
        inventory: Inventory,
        commands: CommandService,
        configuration: ConfigurationService,
        placement: PlacementService,
        routes: RouteService,
        traces: TraceLog,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._access = access
        self._inventory = inventory
        self._commands = commands
        self._configuration = configuration
        self._placement = placement
        self._routes = routes
        self._traces = traces
        self._metrics = metrics
        self._is_ready = is_ready
        read, change = OperatorRole.READ, OperatorRole.CHANGE
        self._endpoints = {
            ("GET", "/metrics"): _Endpoint(read, self._show_metrics),
            ("POST", "/v1/query"): _Endpoint(read, self._run_query),
            ("POST", "/v1/command"): _Endpoint(change, self._run_command),
            ("GET", "/v1/configuration"): _Endpoint(read, self._show_configuration),
            ("PUT", "/v1/configuration"): _Endpoint(change, self._apply_configuration),
            ("GET", "/v1/history"): _Endpoint(read, self._show_history),
            ("GET", "/v1/difference"): _Endpoint(read, self._show_difference),
            ("GET", "/v1/plan"): _Endpoint(read, self._show_plan),
            ("GET", "/v1/where"): _Endpoint(read, self._show_where),
            ("GET", "/v1/explain/request"): _Endpoint(read, self._explain_request),
            ("GET", "/v1/explain/placement"): _Endpoint(read, self._explain_placement),
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to a WSGI call."""
        response = self._respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(f"{response.status} Status", headers)
        return [response.body]

    def _respond(self, environ: Environ) -> Response:
        path = str(environ.get("PATH_INFO", ""))
        if path == "/healthz":
            return Response(200, b"ok\n", METRICS_CONTENT_TYPE)
        if path == "/readyz":
            ready = self._is_ready()
            return (
                Response(200, b"ok\n", METRICS_CONTENT_TYPE)
                if ready
                else _respond_not_ready()
            )
        operator = self._access.identify(str(environ.get("HTTP_AUTHORIZATION", "")))
        if operator is None:
            return problem_response(
                401, "unauthorized", "allowed: the bearer token of an operator"
            )
        endpoint = self._endpoints.get((str(environ.get("REQUEST_METHOD")), path))
        if endpoint is None:
            return problem_response(404, "unknown_path", f"found {path[:80]!r}")
        if not operator.has_role(endpoint.role):
            return problem_response(
                403, "forbidden", f"{operator.name} is only allowed to read"
            )
        return self._handle(environ, endpoint, operator)

    def _handle(
        self, environ: Environ, endpoint: _Endpoint, operator: Operator
    ) -> Response:
        length = int(str(environ.get("CONTENT_LENGTH") or "0"))
        if length > MAX_BODY_BYTES:
            return problem_response(
                413, "body_too_large", f"allowed: up to {MAX_BODY_BYTES} bytes"
            )
        body = cast(BinaryIO, environ["wsgi.input"]).read(length)
        pairs = parse_qs(str(environ.get("QUERY_STRING", "")))
        arguments = {name: values[-1] for name, values in pairs.items()}
        call = Call(operator, body, arguments)
        try:
            return endpoint.handler(call)
        except ValidationError as error:
            return problem_response(
                400, "invalid", "\n".join(format_validation_errors(error))
            )
        except UnknownNameError as error:
            return problem_response(404, "unknown_name", str(error))
        except QueryError as error:
            return problem_response(400, "invalid", str(error))

    def _show_metrics(self, call: Call) -> Response:
        return Response(200, self._metrics.render_exposition(), METRICS_CONTENT_TYPE)

    def _run_query(self, call: Call) -> Response:
        query = Query.model_validate_json(call.body)
        records = self._inventory.records(query.noun)
        return _json({"records": run_query(query, records)})

    def _run_command(self, call: Call) -> Response:
        command = COMMAND_ADAPTER.validate_json(call.body)
        outcome = self._commands.run(command, call.operator.name)
        return self._respond_to_change(call.operator, command.verb, outcome)

    def _apply_configuration(self, call: Call) -> Response:
        proposal = ApplyBody.model_validate_json(call.body)
        body = json.dumps(proposal.document).encode()
        outcome = self._configuration.publish_document(
            body, proposal.base, call.operator.name, proposal.note
        )
        return self._respond_to_change(call.operator, "apply", outcome)

    def _respond_to_change(
        self, operator: Operator, verb: str, outcome: ApplyOutcome
    ) -> Response:
        log_change(
            "operator_change",
            operator=operator.name,
            verb=verb,
            outcome=type(outcome).__name__,
        )
        match outcome:
            case Applied(number):
                return _json({"revision": number})
            case Invalid(faults):
                return problem_response(422, "invalid", "\n".join(faults))
            case Overruled(head, shown):
                return problem_response(
                    409, "conflict", f"revision {head} came first\n{shown}"
                )
            case Unavailable(reason):
                return problem_response(
                    503, "store_unavailable", f"nothing changed: {reason}"
                )
            case Unknown(reason):
                detail = f"the change may be in force, check the history: {reason}"
                return problem_response(504, "outcome_unknown", detail)

    def _show_configuration(self, call: Call) -> Response:
        revision = self._read_revision(call.arguments.get("revision", "0"))
        if isinstance(revision, Response):
            return revision
        entry = revision.entry
        return _json(
            {
                "revision": entry.number,
                "author": entry.author,
                "at": entry.at,
                "note": entry.note,
                "document": json.loads(revision.body),
            }
        )

    def _show_history(self, call: Call) -> Response:
        entries = self._configuration.log.read_history()
        if isinstance(entries, Unavailable):
            return problem_response(503, "store_unavailable", entries.reason)
        return _json(
            {
                "records": [
                    {
                        "revision": entry.number,
                        "author": entry.author,
                        "at": entry.at,
                        "note": entry.note,
                    }
                    for entry in entries
                ]
            }
        )

    def _show_difference(self, call: Call) -> Response:
        old = self._read_revision(call.arguments.get("from", "0"))
        new = self._read_revision(call.arguments.get("to", "0"))
        if isinstance(old, Response):
            return old
        if isinstance(new, Response):
            return new
        names = (f"revision {old.entry.number}", f"revision {new.entry.number}")
        return _json({"difference": format_difference(old.body, new.body, names)})

    def _read_revision(self, number: str) -> Revision | Response:
        if not number.isdecimal():
            return problem_response(
                400, "invalid", f"revision: found {number!r}, allowed: a number"
            )
        revision = self._configuration.read_revision(int(number))
        if isinstance(revision, Revision):
            return revision
        if isinstance(revision, Unavailable):
            return problem_response(503, "store_unavailable", revision.reason)
        return problem_response(404, "unknown_revision", f"found {number}")

    def _show_plan(self, call: Call) -> Response:
        pool = call.arguments.get("pool", "")
        planner = self._placement.planner(pool)
        if planner is None or planner.state is None:
            return self._respond_planned_elsewhere(pool)
        actions = [
            {
                "action": type(action).__name__,
                "target": action.target,
                "unit": action.unit,
                "reason": action.reason,
            }
            for action in plan(planner.state)
        ]
        return _json({"records": actions})

    def _show_where(self, call: Call) -> Response:
        return _json(self._routes.preview(call.arguments))

    def _explain_request(self, call: Call) -> Response:
        request_id = call.arguments.get("id", "")
        trace = self._traces.find(request_id)
        if trace is None:
            return problem_response(
                404,
                "unknown_request",
                f"not among the last requests of this node: {request_id}",
            )
        lines = [
            f"{trace.route} for {trace.caller}, priority {trace.priority}: "
            f"{trace.outcome} ({trace.status}) "
            f"in {trace.duration.total_seconds():.3f} s"
        ]
        for number, attempt in enumerate(trace.attempts, 1):
            lines.append(
                f"attempt {number} at {attempt.target}: {attempt.reason}: "
                f"{attempt.outcome}"
            )
        return _json({"lines": lines})

    def _explain_placement(self, call: Call) -> Response:
        name = call.arguments.get("model", "")
        deployment = self._configuration.deployment()
        model = next((m for m in deployment.models if m.name == name), None)
        if model is None:
            return problem_response(404, "unknown_model", f"found {name!r}")
        planner = self._placement.planner(model.pool)
        if planner is None or planner.state is None:
            return self._respond_planned_elsewhere(model.pool)
        return _json({"lines": explain_placement(planner.state, model)})

    def _respond_planned_elsewhere(self, pool: str) -> Response:
        record = self._placement.lease_records().get(pool)
        holder = "no node yet" if record is None else record.holder or "no node now"
        return problem_response(
            409, "planned_elsewhere", f"pool {pool!r} is planned by {holder}"
        )


def problem_response(status: int, reason: str, detail: str) -> Response:
    """Return a problem document (RFC 9457) with ``reason`` and ``detail``."""
    document = {"status": status, "reason": reason, "detail": detail}
    return Response(status, json.dumps(document).encode(), PROBLEM_CONTENT_TYPE)


def _json(document: dict[str, Any]) -> Response:
    return Response(200, _DOCUMENT.dump_json(document))


_DOCUMENT: TypeAdapter[dict[str, Any]] = TypeAdapter(dict[str, Any])


def _respond_not_ready() -> Response:
    return Response(503, b"not ready\n", METRICS_CONTENT_TYPE)
