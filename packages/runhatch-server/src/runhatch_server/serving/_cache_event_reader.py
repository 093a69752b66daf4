"""Reads engines' cache events, a few engines per round, for prefix affinity.

A node's prefix index is built from its own answers.  Events correct it: blocks that
an engine dropped are removed, and blocks that other nodes' requests stored are added
if this node knows them.  Missing events are only counted: discarding the oldest
entries because of them gave worse routing (docs/design/serving.md).
"""

from collections.abc import Callable

from runhatch_coordination import Unavailable
from runhatch_server.observability import Metrics
from runhatch_server.serving._dispatch import Dispatcher
from runhatch_server.serving._placement_cache import PlacementCache
from runhatch_server.targets import CacheEvents, EngineClient

MAX_EVENTS_PER_READ = 250
"""Maximum number of events per read, about 15 KB."""
MAX_EVENT_LAG = 4 * MAX_EVENTS_PER_READ
"""Number of unread events above which the oldest are skipped, as if lost."""


class CacheEventReader:
    """Reads cache events of the engines that this node sends prompts to.

    Not thread-safe.  A round reads at most ``targets_per_round`` engines, in rotation,
    so that its cost does not depend on the number of engines.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        placement_cache: PlacementCache,
        metrics: Metrics,
        targets_per_round: int,
        client_factory: Callable[[str], EngineClient] = EngineClient,
    ) -> None:
        self._dispatcher = dispatcher
        self._picture = placement_cache
        self._metrics = metrics
        self._targets_a_round = targets_per_round
        self._engine = client_factory
        self._engines: dict[str, EngineClient] = {}
        self._cursors: dict[str, int] = {}
        self._last_target = ""

    def read_round(self) -> None:
        """Read the events of the next engines in the rotation."""
        urls = self._picture.target_urls()
        names = [name for name in self._dispatcher.prefix_targets() if name in urls]
        for name in self._next_targets(names):
            self._read_engine(name, urls[name])

    def _next_targets(self, names: list[str]) -> list[str]:
        """Return the names that follow those of the previous round."""
        later = [name for name in names if name > self._last_target]
        earlier = [name for name in names if name <= self._last_target]
        selected = (later + earlier)[: self._targets_a_round]
        if selected:
            self._last_target = selected[-1]
        return selected

    def _read_engine(self, name: str, url: str) -> None:
        engine = self._engines.setdefault(url, self._engine(url))
        cursor = self._cursors.get(name)
        if cursor is None:
            # Earlier blocks are already in the index, from this node's answers.
            response = engine.fetch_cache_events(after=-1, limit=0)
            if isinstance(response, CacheEvents):
                self._cursors[name] = response.last
            return
        response = engine.fetch_cache_events(after=cursor, limit=MAX_EVENTS_PER_READ)
        if isinstance(response, Unavailable):
            self._metrics.cache_events.labels("unread").inc()
            return
        if response.last < cursor:
            self._cursors[name] = response.last
            self._dispatcher.remove_cached_prefixes(name)
            return
        next_cursor = _next_cursor(response)
        missing_count = next_cursor - cursor - len(response.events)
        self._cursors[name] = next_cursor
        self._dispatcher.apply_cache_events(name, response.events)
        self._metrics.cache_events.labels("taken").inc(len(response.events))
        self._metrics.cache_events.labels("missing").inc(missing_count)


def _next_cursor(response: CacheEvents) -> int:
    """Return the sequence number after which the next read starts."""
    is_full = len(response.events) == MAX_EVENTS_PER_READ
    next_cursor = response.events[-1].sequence if is_full else response.last
    lag = response.last - next_cursor
    return response.last - MAX_EVENTS_PER_READ if lag > MAX_EVENT_LAG else next_cursor
