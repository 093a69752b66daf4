"""Operator commands, each of which is applied as a new configuration revision.

So a command survives restarts and takes effect on every node.
"""

import json
from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter

from runhatch_coordination import Unavailable
from runhatch_server.configuration import (
    Applied,
    ApplyOutcome,
    ConfigurationService,
    Invalid,
)
from runhatch_server.validation import StrictModel

Document = dict[str, Any]


class DrainTarget(StrictModel):
    """Send a target no new requests, and move its models to other targets."""

    verb: Literal["drain"]
    target: str


class UndrainTarget(StrictModel):
    """Let a drained target accept requests again."""

    verb: Literal["undrain"]
    target: str


class LoadModel(StrictModel):
    """Pin a replica of a model to a target."""

    verb: Literal["load"]
    model: str
    target: str


class UnloadModel(StrictModel):
    """Ban a model from a target, once another replica serves it."""

    verb: Literal["unload"]
    model: str
    target: str


class ReleaseModel(StrictModel):
    """Remove the pin or ban of a model on a target, so that the planner decides."""

    verb: Literal["release"]
    model: str
    target: str


class PausePlanner(StrictModel):
    """Make only the moves that keep models reachable."""

    verb: Literal["pause"]


class ResumePlanner(StrictModel):
    """Make moves that improve the placement again."""

    verb: Literal["resume"]


class RestoreRevision(StrictModel):
    """Apply the document of a previous revision as a new revision."""

    verb: Literal["restore"]
    revision: int = Field(ge=1)


Command = Annotated[
    DrainTarget
    | UndrainTarget
    | LoadModel
    | UnloadModel
    | ReleaseModel
    | PausePlanner
    | ResumePlanner
    | RestoreRevision,
    Field(discriminator="verb"),
]
COMMAND_ADAPTER: TypeAdapter[Command] = TypeAdapter(Command)


class CommandService:
    """Runs operator commands on this node."""

    def __init__(self, configuration: ConfigurationService) -> None:
        self._configuration = configuration

    def run(self, command: Command, author: str) -> ApplyOutcome:
        """Apply the configuration change of ``command``.

        Returns without a new revision if the configuration has it already.
        """
        self._configuration.read_newest()
        current = self._configuration.feed.current
        if current is None:
            return Invalid(("document: no configuration is in force yet",))
        document = json.loads(current.body)
        if isinstance(command, RestoreRevision):
            return self._restore(command, current.entry.number, author)
        note = _edit_document(document, command)
        body = json.dumps(document).encode()
        if document == json.loads(current.body):
            return Applied(current.entry.number)
        return self._configuration.publish_document(
            body, current.entry.number, author, note
        )

    def _restore(
        self, command: RestoreRevision, base: int, author: str
    ) -> ApplyOutcome:
        old = self._configuration.read_revision(command.revision)
        if isinstance(old, Unavailable):
            return old
        body = getattr(old, "body", None)
        if body is None:
            return Invalid((f"revision: found {command.revision}, no such revision",))
        note = f"restore {command.revision}"
        return self._configuration.publish_document(body, base, author, note)


def _edit_document(document: Document, command: Command) -> str:
    """Apply ``command`` to ``document`` in place; return the note for the history."""
    match command:
        case DrainTarget(target=target):
            drained = document.setdefault("drained_targets", [])
            if target not in drained:
                drained.append(target)
            return f"drain {target}"
        case UndrainTarget(target=target):
            _remove(document, "drained_targets", lambda name: name == target)
            return f"undrain {target}"
        case LoadModel(model=model, target=target):
            _move_pair(document, "bans", "pins", model, target)
            return f"load {model} on {target}"
        case UnloadModel(model=model, target=target):
            _move_pair(document, "pins", "bans", model, target)
            return f"unload {model} from {target}"
        case ReleaseModel(model=model, target=target):
            _remove_pair(document, "pins", model, target)
            _remove_pair(document, "bans", model, target)
            return f"release {model} on {target}"
        case PausePlanner():
            document.setdefault("policy", {})["paused"] = True
            return "pause"
        case ResumePlanner():
            document.setdefault("policy", {})["paused"] = False
            return "resume"
    raise NotImplementedError(type(command))


def _move_pair(
    document: Document, from_field: str, to_field: str, model: str, target: str
) -> None:
    _remove_pair(document, from_field, model, target)
    pairs = document.setdefault(to_field, [])
    pair = {"model": model, "target": target}
    if pair not in pairs:
        pairs.append(pair)


def _remove_pair(document: Document, field: str, model: str, target: str) -> None:
    pair = {"model": model, "target": target}
    _remove(document, field, lambda other: other == pair)


def _remove(document: Document, field: str, is_removed: Callable[[Any], bool]) -> None:
    if field in document:
        document[field] = [entry for entry in document[field] if not is_removed(entry)]
