"""A service whose targets crash when they begin to answer prompts with one part.

Callers send such requests, of which no two are equal, and sound ones that share the
other parts of their prompts.
"""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from runhatch_standins._cluster import call
from runhatch_standins._gateways import Gateway, GatewaySystem, request_headers, route
from runhatch_standins._launch import Launched

SERVICE = "prompts"
MODEL = "m0"
TARGETS = 8
DOWN_SECONDS = 1.5
"""Time from the crash of a target to the start of the next one."""
SOUND_CALLERS = 4
SOUND_PAUSE_SECONDS, CRASHING_PAUSE_SECONDS = 0.1, 0.3
"""Mean pauses between the requests of a caller. Targets must start again about as fast
as they crash, or none is left for further requests."""
SPELL_SECONDS = 10.0
"""Shortest time in which requests with one crashing part are sent."""
CONTACT_SECONDS = 3.0
CRASHES_TO_KNOW = 5
ALLOWED_LATE = 3
"""Requests with a crashing part that may reach targets later than ``CONTACT_SECONDS``
after the crash number ``CRASHES_TO_KNOW``."""
MIN_SERVED_SHARE = 0.5
MIN_COUNTED = 20
"""Least share of sound requests that are served then, of those that are without such
requests, if there are ``MIN_COUNTED`` of each."""
TIMEOUT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class PromptTry:
    """A request sent by a gateway in touch, and whether a target may have run it."""

    sent_at: float
    has_reached: bool
    is_served: bool


@dataclass(slots=True)
class Spell:
    """Requests with one crashing part, and sound ones beside them."""

    part: str
    ends: float
    crashed_at: list[float] = field(default_factory=list)
    crashing: list[PromptTry] = field(default_factory=list)
    sound: list[PromptTry] = field(default_factory=list)


class PromptLoad:
    """The targets, which start anew after crashes, and the callers of the service."""

    def __init__(self, system: GatewaySystem) -> None:
        self._system = system
        self._lock = threading.Lock()
        self._spells: list[Spell] = []
        self._calm: list[PromptTry] = []
        self._numbers = itertools.count()
        self._targets = [self._start_target("") for _ in range(TARGETS)]
        system.add_service(SERVICE, [route(f"/{SERVICE}/", "stream", SERVICE)])

    def run(
        self, seconds: float, seed: int, is_in_touch: Callable[[Gateway, float], bool]
    ) -> None:
        """Send sound requests alone, then crashing ones too for ``seconds`` or more."""
        part = f"crashing{len(self._spells)}"
        for target, _ in self._targets:
            call(target.url, "POST", "/faults", {"ends_on_part": part})
        calm = Spell(part, time.monotonic() + 1)
        self._run_callers(calm, seed, is_in_touch, [False] * SOUND_CALLERS)
        self._calm += calm.sound
        spell = Spell(part, time.monotonic() + max(SPELL_SECONDS, seconds))
        self._spells.append(spell)
        self._run_callers(spell, seed, is_in_touch, [True] + [False] * SOUND_CALLERS)

    def check(self) -> list[str]:
        """Return the violations of all spells."""
        return [t for spell in self._spells for t in check_spell(spell, self._calm)]

    def _run_callers(
        self,
        spell: Spell,
        seed: int,
        is_in_touch: Callable[[Gateway, float], bool],
        are_crashing: Sequence[bool],
    ) -> None:
        """Run one caller for each of ``are_crashing`` until ``spell`` ends."""
        with ThreadPoolExecutor(len(are_crashing) + 1) as pool:
            running = [pool.submit(self._restart_crashed, spell)]
            for number, is_crashing in enumerate(are_crashing):
                rng = random.Random(seed * 100 + number)
                running.append(
                    pool.submit(self._call, spell, rng, is_crashing, is_in_touch)
                )
            for future in running:
                future.result()

    def _call(
        self,
        spell: Spell,
        rng: random.Random,
        is_crashing: bool,
        is_in_touch: Callable[[Gateway, float], bool],
    ) -> None:
        pause = CRASHING_PAUSE_SECONDS if is_crashing else SOUND_PAUSE_SECONDS
        while time.monotonic() < spell.ends:
            gate = rng.choice(self._system.gateways)
            second = spell.part if is_crashing else f"b{rng.randrange(20)}"
            sent_at = time.monotonic()
            was_in_touch = is_in_touch(gate, sent_at)
            status = self._ask(gate, ("a", second, f"own{next(self._numbers)}"))
            if was_in_touch and is_in_touch(gate, sent_at):
                is_refused = status == http.client.SERVICE_UNAVAILABLE
                found = PromptTry(sent_at, not is_refused, status == http.client.OK)
                with self._lock:
                    (spell.crashing if is_crashing else spell.sound).append(found)
            time.sleep(rng.uniform(0, 2 * pause))

    def _ask(self, gate: Gateway, parts: tuple[str, ...]) -> int:
        """Send a prompt of ``parts``; return the status of its answer, 0 for none."""
        name = parts[-1]
        headers = request_headers(name, MODEL)
        headers["X-Runhatch-Prompt-Prefix"] = ",".join(f"{part}:30" for part in parts)
        connection = http.client.HTTPConnection(
            "127.0.0.1", gate.front, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request("POST", f"/{SERVICE}/{name}", headers=headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
        return response.status

    def _restart_crashed(self, spell: Spell) -> None:
        """Start another target some time after one crashed, until the spell ends."""
        with ThreadPoolExecutor(TARGETS) as pool:
            while time.monotonic() < spell.ends:
                for target, identity in [*self._targets]:
                    if target.process.poll() is not None:
                        spell.crashed_at.append(time.monotonic())
                        self._targets.remove((target, identity))
                        pool.submit(self._replace, identity, spell.part)
                time.sleep(0.02)

    def _replace(self, identity: str, part: str) -> None:
        time.sleep(DOWN_SECONDS)
        self._system.remove_row("servers", identity)
        self._targets.append(self._start_target(part))

    def _start_target(self, part: str) -> tuple[Launched, str]:
        """Return a target that crashes on ``part``, and its identity."""
        target = self._system.start_worker(SERVICE, MODEL)
        call(target.url, "POST", "/faults", {"ends_on_part": part})
        return target, str(call(target.url, "GET", "/journal")["identity"])


def check_spell(spell: Spell, without: Sequence[PromptTry]) -> list[str]:
    """Return the violations of one spell.

    ``without`` are the sound requests sent without crashing ones beside them.
    """
    if not spell.crashed_at:
        return []
    crashed_at = sorted(spell.crashed_at)[:CRASHES_TO_KNOW]
    known_at = crashed_at[-1] + CONTACT_SECONDS
    violations = []
    late = [t for t in spell.crashing if t.has_reached and t.sent_at > known_at]
    if len(crashed_at) == CRASHES_TO_KNOW and len(late) > ALLOWED_LATE:
        violations.append(
            f"{len(late)} requests with {spell.part} reached targets later than "
            f"{CONTACT_SECONDS:g} s after the fifth of {len(spell.crashed_at)} "
            "crashes"
        )
    from_then = known_at + CONTACT_SECONDS
    sound = [t.is_served for t in spell.sound if t.sent_at > from_then]
    calm = [t.is_served for t in without]
    if min(len(sound), len(calm)) >= MIN_COUNTED:
        share, calm_share = (sum(x) / len(x) for x in (sound, calm))
        if share < MIN_SERVED_SHARE * calm_share:
            violations.append(
                f"sound requests beside {spell.part}: {share:.2f} served, "
                f"{calm_share:.2f} without it"
            )
    return violations
