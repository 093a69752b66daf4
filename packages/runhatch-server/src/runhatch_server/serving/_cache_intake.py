"""Reading engines' cache events, a few engines a round, for prefix affinity.

What a node believes of caches comes from its own answers.  Events correct it: what
an engine dropped is believed no longer, and what others' requests stored is, as far
as this node has met it.  Missing events are counted and otherwise ignored: to doubt
the oldest beliefs for them was measured to be worse (docs/design/serving.md).
"""

from collections.abc import Callable

from runhatch_coordination import Unavailable
from runhatch_server.observability import Metrics
from runhatch_server.serving._dispatch import Dispatcher
from runhatch_server.serving._picture import Picture
from runhatch_server.targets import CacheEvents, EngineClient

EVENTS_A_READ = 250
"""Some 15 KB at the most."""
FAR_BEHIND = 4 * EVENTS_A_READ
"""Beyond this the oldest events are skipped, as if they had been lost."""


class CacheIntake:
    """Reads the engines that this node sends prompts to, in turns.

    Called by one task; ``targets_a_round`` bounds what a round costs, however many
    engines there are.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        picture: Picture,
        metrics: Metrics,
        targets_a_round: int,
        engine: Callable[[str], EngineClient] = EngineClient,
    ) -> None:
        self._dispatcher = dispatcher
        self._picture = picture
        self._metrics = metrics
        self._targets_a_round = targets_a_round
        self._engine = engine
        self._engines: dict[str, EngineClient] = {}
        self._cursors: dict[str, int] = {}
        self._turn = ""

    def read_round(self) -> None:
        """Read the next few engines."""
        urls = self._picture.target_urls()
        names = [name for name in self._dispatcher.prefix_targets() if name in urls]
        for name in self._next(names):
            self._read(name, urls[name])

    def _next(self, names: list[str]) -> list[str]:
        """Return whose turn it is, after those of the last round."""
        later = [name for name in names if name > self._turn]
        earlier = [name for name in names if name <= self._turn]
        chosen = (later + earlier)[: self._targets_a_round]
        if chosen:
            self._turn = chosen[-1]
        return chosen

    def _read(self, name: str, url: str) -> None:
        engine = self._engines.setdefault(url, self._engine(url))
        cursor = self._cursors.get(name)
        if cursor is None:
            # What was before is in the answers that made the engine known.
            found = engine.cache_events(after=-1, limit=0)
            if isinstance(found, CacheEvents):
                self._cursors[name] = found.last
            return
        found = engine.cache_events(after=cursor, limit=EVENTS_A_READ)
        if isinstance(found, Unavailable):
            self._metrics.cache_events.labels("unread").inc()
            return
        if found.last < cursor:
            self._cursors[name] = found.last
            self._dispatcher.cache_lost(name)
            return
        reached = _reached(found)
        missing = reached - cursor - len(found.events)
        self._cursors[name] = reached
        self._dispatcher.cache_news(name, found.events)
        self._metrics.cache_events.labels("taken").inc(len(found.events))
        self._metrics.cache_events.labels("missing").inc(missing)


def _reached(found: CacheEvents) -> int:
    """Return the number up to which nothing more is to be asked for."""
    full = len(found.events) == EVENTS_A_READ
    reached = found.events[-1].sequence if full else found.last
    behind = found.last - reached
    return found.last - EVENTS_A_READ if behind > FAR_BEHIND else reached
