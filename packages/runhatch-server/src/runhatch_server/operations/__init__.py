"""HTTP interface of operators: queries, commands, configuration and health."""

from runhatch_server.operations._access import Access
from runhatch_server.operations._app import OperatorApp
from runhatch_server.operations._commands import CommandService
from runhatch_server.operations._nouns import Inventory, Noun
from runhatch_server.operations._query import Query, run_query
from runhatch_server.operations._where import RouteService

__all__ = [
    "Access",
    "CommandService",
    "Inventory",
    "Noun",
    "OperatorApp",
    "Query",
    "RouteService",
    "run_query",
]
