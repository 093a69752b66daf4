"""Parser of the operators' query and command language, built with lark."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cache
from importlib.resources import files
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken

from runhatch_cli._errors import LanguageError

GRAMMAR_FILE = "language.lark"
END_TOKEN_TYPE = "$END"
Document = dict[str, Any]


class SentenceKind(Enum):
    """Kind of a sentence, which decides the endpoint it is sent to."""

    QUERY = "query"
    COMMAND = "command"
    EXPLAIN_REQUEST = "explain request"
    EXPLAIN_PLACEMENT = "explain placement"
    PLAN = "plan"


@dataclass(frozen=True, slots=True)
class Sentence:
    """A parsed sentence; ``document`` is the body of a query or command.

    ``subject`` is the request id, the model or the pool of the other kinds.
    """

    kind: SentenceKind
    document: Document = field(default_factory=dict)
    subject: str = ""


def parse(text: str) -> Sentence:
    """Parse ``text`` and return the sentence.

    Raises :class:`LanguageError` with the column, the word found and those allowed.

    >>> parse("show models where loaded on w3 limit 5").document["limit"]
    5
    >>> parse("drain w3").document
    {'verb': 'drain', 'target': 'w3'}
    """
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise LanguageError(_format_error(text, error)) from None
    sentence: Sentence = _Builder().transform(tree)
    return sentence


@cache
def _parser() -> Lark:
    grammar = files("runhatch_cli").joinpath(GRAMMAR_FILE).read_text()
    return Lark(grammar, parser="lalr")


def _format_error(text: str, error: UnexpectedInput) -> str:
    at_end = isinstance(error, UnexpectedToken) and error.token.type == END_TOKEN_TYPE
    column = len(text) + 1 if at_end else error.column
    found = text[column - 1 :].split(maxsplit=1)[:1]
    shown = repr(found[0]) if found else "the end"
    names = getattr(error, "accepts", None) or getattr(error, "expected", None)
    names = names or getattr(error, "allowed", None) or set()
    allowed = ", ".join(sorted(str(name).lower() for name in names))
    return f"column {column}: found {shown}, allowed: {allowed}"


def _command(verb: str, **arguments: Any) -> Sentence:
    return Sentence(SentenceKind.COMMAND, {"verb": verb, **arguments})


class _Builder(Transformer[Token, Any]):
    """Builds a sentence from the parse tree, with one method per grammar rule."""

    def start(self, children: list[Any]) -> Sentence:
        sentence: Sentence = children[0]
        return sentence

    def show(self, children: list[Any]) -> Sentence:
        noun, where, order, limit = children
        document: Document = {"noun": str(noun).lower()}
        if where is not None:
            document["where"] = where
        if order is not None:
            document.update(order)
        if limit is not None:
            document["limit"] = limit
        return Sentence(SentenceKind.QUERY, document)

    def where(self, children: list[Any]) -> list[Document]:
        return children

    def loaded_on(self, children: list[Token]) -> Document:
        return _condition("targets", "has", str(children[0]))

    def compare(self, children: list[Any]) -> Document:
        name, comparison, value = children
        return _condition(str(name), str(comparison).lower(), value)

    def value(self, children: list[Token]) -> str | float:
        token = children[0]
        if token.type == "STRING":
            return str(token)[1:-1]
        if token.type in ("NUMBER", "INT"):
            return float(token)
        return str(token)

    def order(self, children: list[Token | None]) -> Document:
        name, direction = children
        descending = direction is not None and str(direction).lower() == "desc"
        return {"order_by": str(name), "descending": descending}

    def limit(self, children: list[Token]) -> int:
        return int(children[0])

    def explain_request(self, children: list[Token]) -> Sentence:
        return Sentence(SentenceKind.EXPLAIN_REQUEST, subject=str(children[0]))

    def explain_placement(self, children: list[Token]) -> Sentence:
        return Sentence(SentenceKind.EXPLAIN_PLACEMENT, subject=str(children[0]))

    def plan(self, children: list[Token]) -> Sentence:
        return Sentence(SentenceKind.PLAN, subject=str(children[0]))

    def drain(self, children: list[Token]) -> Sentence:
        return _command("drain", target=str(children[0]))

    def undrain(self, children: list[Token]) -> Sentence:
        return _command("undrain", target=str(children[0]))

    def load(self, children: list[Token]) -> Sentence:
        return _command("load", model=str(children[0]), target=str(children[1]))

    def unload(self, children: list[Token]) -> Sentence:
        return _command("unload", model=str(children[0]), target=str(children[1]))

    def release(self, children: list[Token]) -> Sentence:
        return _command("release", model=str(children[0]), target=str(children[1]))

    def pause(self, children: list[Token]) -> Sentence:
        return _command("pause")

    def resume(self, children: list[Token]) -> Sentence:
        return _command("resume")

    def restore(self, children: list[Token]) -> Sentence:
        return _command("restore", revision=int(children[0]))


def _condition(name: str, comparison: str, value: str | float) -> Document:
    return {"field": name, "comparison": comparison, "value": value}
