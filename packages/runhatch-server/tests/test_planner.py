"""Plans: reachability first, moves only for what they win."""

import json
from dataclasses import replace

import pytest
from server_cases import deployment_document

from runhatch_server.configuration import parse_deployment
from runhatch_server.placement import (
    Charge,
    ChargeState,
    LedgerRow,
    LoadUnit,
    PoolState,
    RetireUnit,
    plan,
)

LOADING, SERVING, UNLOADING = ChargeState
NAMES = ("w0", "w1", "w2")


def state(rows, work=None, **changes):
    """Return a pool's state; ``rows`` lists units served by each target."""
    extra = {
        name: changes.pop(name)
        for name in ("closed", "silent", "ages")
        if name in changes
    }
    body = json.dumps(deployment_document(**changes)).encode()
    deployment = parse_deployment(body)
    sizes = {model.unit: model.memory_mb for model in deployment.models}
    ledger = {}
    for name, units in zip(NAMES, rows, strict=True):
        charges = tuple(
            Charge(
                unit, sizes.get(unit, 2), 0, SERVING, 1, "m0@1" * unit.startswith("a")
            )
            for unit in units
        )
        ledger[name] = LedgerRow(name, 100, charges)
    return PoolState(
        deployment.pools[0],
        deployment.models,
        deployment.adapters,
        deployment.policy,
        ledger,
        work or {},
        pins=frozenset((p.model, p.target) for p in deployment.pins),
        bans=frozenset((p.model, p.target) for p in deployment.bans),
        **{name: value for name, value in extra.items()},
    )


def brief(actions):
    return sorted(
        (("load" if isinstance(a, LoadUnit) else "retire"), a.unit, a.target)
        for a in actions
    )


FULL = (("m0@1", "a0@1"), ("m1@1", "m3@1"), ("m2@1",))


class TestPlan:
    """What is planned for a state."""

    def test_empty_pool_loads_everything(self):
        """Every declared model is loaded somewhere, spread over the targets."""
        actions = plan(state(((), (), ())))
        loads = [a for a in actions if isinstance(a, LoadUnit)]
        assert {a.unit for a in loads} == {f"m{i}@1" for i in range(4)}
        assert len({a.target for a in loads}) == 3

    def test_settled_pool_is_left_alone(self):
        """With everything resident and little work nothing moves."""
        assert plan(state(FULL, {"m0": 1.0, "m1": 0.5})) == []

    def test_adapter_follows_its_base(self):
        """An adapter is loaded wherever its base serves."""
        rows = (("m0@1",), *FULL[1:])
        assert brief(plan(state(rows))) == [("load", "a0@1", "w0")]

    def test_hot_model_gets_a_replica(self):
        """Work beyond what its target carries brings another replica."""
        actions = plan(state(FULL, {"m0": 9.0}))
        assert [a.unit for a in actions if isinstance(a, LoadUnit)] == ["m0@1"]
        assert all(a.target != "w0" for a in actions)

    def test_price_outweighs_a_small_gain(self):
        """A replica that wins less than its move costs is not loaded."""
        dear = {"move_price": 10_000}
        assert plan(state(FULL, {"m0": 9.0}, policy=dear)) == []

    def test_paused_planner_only_keeps_reachable(self):
        """Paused, a missing model is still loaded, and no replica added."""
        rows = (FULL[0], ("m1@1",), FULL[2])
        actions = plan(state(rows, {"m0": 9.0}, policy={"paused": True}))
        assert [a.unit for a in actions] == ["m3@1"]

    @pytest.mark.parametrize(
        ("rows", "expected"),
        [
            (FULL, [("load", "m1@2", "w2")]),
            ((FULL[0], FULL[1], ("m2@1", "m1@2")), [("retire", "m1@1", "w1")]),
        ],
    )
    def test_new_version_is_made_before_the_old_is_broken(self, rows, expected):
        """The old version goes only once the new one serves."""
        models = deployment_document()["models"]
        models[1] = {**models[1], "version": "2"}
        assert brief(plan(state(rows, models=models))) == expected

    def test_pool_full_of_old_versions_makes_room(self):
        """An old version goes where another old one serves, or none could come."""
        models = [
            {**model, "version": "9", "memory_mb": 40, "loading_peak_mb": 12}
            for model in deployment_document()["models"]
        ]
        rows = (("m0@1", "m3@1"), ("m1@2", "m1@4"), ("m2@1", "m3@1"))
        full = state(rows, models=models)
        old = Charge("", 40, 0, SERVING, 1)
        ledger = {
            name: replace(row, charges=tuple(replace(old, unit=u) for u in units))
            for (name, row), units in zip(full.rows.items(), rows, strict=True)
        }
        actions = plan(replace(full, rows=ledger))
        gone = {(a.target, a.unit) for a in actions}
        assert all(isinstance(a, RetireUnit) for a in actions)
        assert gone
        left = {
            u
            for name, row in zip(NAMES, rows, strict=True)
            for u in row
            if (name, u) not in gone
        }
        assert {unit.partition("@")[0] for unit in left} == {"m0", "m1", "m2", "m3"}

    def test_drained_target_is_emptied_last_replica_kept(self):
        """A drained target's models are loaded elsewhere before they go."""
        actions = plan(state(FULL, closed=frozenset({"w2"})))
        assert [(a.unit, type(a)) for a in actions] == [("m2@1", LoadUnit)]
        moved = (FULL[0], FULL[1], ("m2@1",))
        with_copy = (("m0@1", "a0@1", "m2@1"), *moved[1:])
        actions = plan(state(with_copy, closed=frozenset({"w2"})))
        assert brief(actions) == [("retire", "m2@1", "w2")]

    def test_silent_target_is_replaced_not_emptied(self):
        """Models of a silent target are loaded elsewhere, nothing is retired."""
        gone = frozenset({"w2"})
        actions = plan(state(FULL, closed=gone, silent=gone))
        assert [(a.unit, type(a)) for a in actions] == [("m2@1", LoadUnit)]

    def test_undeclared_units_go(self):
        """What is declared no more is retired."""
        rows = (FULL[0], FULL[1], ("m2@1", "old@1"))
        assert brief(plan(state(rows))) == [("retire", "old@1", "w2")]

    def test_pin_and_ban(self):
        """Operators' pins are loaded, and bans emptied once others serve."""
        pin = plan(state(FULL, pins=[{"model": "m2", "target": "w1"}]))
        assert brief(pin) == [("load", "m2@1", "w1")]
        rows = (FULL[0], FULL[1], ("m2@1", "m1@1"))
        ban = plan(state(rows, bans=[{"model": "m1", "target": "w1"}]))
        assert brief(ban) == [("retire", "m1@1", "w1")]

    def test_last_replica_is_never_retired(self):
        """A ban on the only replica waits until another serves."""
        actions = plan(state(FULL, bans=[{"model": "m1", "target": "w1"}]))
        assert not any(isinstance(a, RetireUnit) for a in actions)
