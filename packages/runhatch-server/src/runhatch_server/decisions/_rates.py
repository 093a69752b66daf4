"""How long prompts of each model, and requests of each route, take; learned."""

from datetime import timedelta

from runhatch_server.decisions._load import Outstanding

FIRST_BASE_MS = 25.0
"""Time to the first token that no prompt explains, before any was seen: the way and a
step or two."""
LEAST_BASE_MS, MOST_BASE_MS = 2.0, 100.0
FIRST_MS_PER_TOKEN = 0.06
"""Time to read a prompt token before any was measured; engines of 70 billion
parameters read some 17 to 40 a millisecond between the tokens of other requests."""
LEAST_MS_PER_TOKEN, MOST_MS_PER_TOKEN = 0.002, 1.0
"""Bounds of what is believed, against measurements gone wrong."""
USUAL_PROMPT = 600.0
"""Tokens of a prompt that says as much of the speed as of the base."""
SOONER_GAIN, LATER_GAIN = 0.3, 0.15
"""Weights of the newest first token; some ten tell all.  Others may have been ahead
unseen, so one that came sooner than predicted tells more."""
MOST_AHEAD = 0.5
"""Share of its own time that a prompt may have waited for others to tell of a speed."""
MOST_ERROR = 2.0
"""Times the prediction that one measurement may differ from it."""
OTHERS_GAIN = 0.1
"""Weight of the newest prompt in what is taken for models not seen yet."""
FIRST_SERVICE_MS = 30.0
"""Time of a plain request before any was measured."""
SERVICE_GAIN = 0.1
"""Weight of the newest plain request in its route's usual time."""


class WorkRates:
    """Times of prompts by model, and of plain requests by route.

    The time to a first token is a base, common to all, and a time for each token of
    the prompt that is not cached, by model.  Both are corrected by what each first
    token misses them by, in proportion to their parts in it.
    """

    def __init__(self) -> None:
        self.base_ms = FIRST_BASE_MS
        """Time to the first token that no prompt explains."""
        self._ms_per_token: dict[str, float] = {}
        self._others = FIRST_MS_PER_TOKEN
        self._service_ms: dict[str, float] = {}

    def prompt_ms(self, model: str, tokens: int) -> float:
        """Return how long reading ``tokens`` takes ``model``."""
        return tokens * self._ms_per_token.get(model, self._others)

    def service_ms(self, route: str) -> float:
        """Return how long a plain request of ``route`` takes."""
        return self._service_ms.get(route, FIRST_SERVICE_MS)

    def first_token(
        self, model: str, outstanding: Outstanding, took: timedelta
    ) -> None:
        """Learn from a first token, if its own prompt explains most of its wait."""
        known = self._ms_per_token.get(model, self._others)
        own = self.base_ms + outstanding.unread * known
        if not outstanding.unread or outstanding.ahead_ms > own * MOST_AHEAD:
            return
        error = took / timedelta(milliseconds=1) - own - outstanding.ahead_ms
        error = min(max(error, -own), own * MOST_ERROR)
        error *= SOONER_GAIN if error < 0 else LATER_GAIN
        part = outstanding.unread / USUAL_PROMPT
        error /= 1.0 + part**2
        self.base_ms = _within(self.base_ms + error, LEAST_BASE_MS, MOST_BASE_MS)
        learned = known + error * part / USUAL_PROMPT
        learned = _within(learned, LEAST_MS_PER_TOKEN, MOST_MS_PER_TOKEN)
        self._ms_per_token[model] = learned
        self._others += (learned - self._others) * OTHERS_GAIN

    def served(self, route: str, took: timedelta) -> None:
        """Learn from a plain request."""
        seen = took / timedelta(milliseconds=1)
        known = self._service_ms.get(route, seen)
        self._service_ms[route] = known + (seen - known) * SERVICE_GAIN


def _within(value: float, least: float, most: float) -> float:
    return min(max(value, least), most)
