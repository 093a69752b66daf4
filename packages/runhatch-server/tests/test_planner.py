"""Plans keep models reachable first, and move replicas only at a net gain."""

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


def make_state(rows, work=None, **changes):
    """Return a pool's state; ``rows`` lists the units served by each target."""
    extra = {
        name: changes.pop(name)
        for name in ("excluded", "silent", "ages")
        if name in changes
    }
    body = json.dumps(deployment_document(**changes)).encode()
    deployment = parse_deployment(body)
    sizes = {model.unit_name: model.memory_mb for model in deployment.models}
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


def summarize(actions):
    return sorted(
        (("load" if isinstance(a, LoadUnit) else "retire"), a.unit, a.target)
        for a in actions
    )


ALL_RESIDENT = (("m0@1", "a0@1"), ("m1@1", "m3@1"), ("m2@1",))


class TestPlan:
    """Actions planned for the state of a pool."""

    def test_empty_pool_loads_everything(self):
        """Every declared model is loaded somewhere, spread over the targets."""
        actions = plan(make_state(((), (), ())))
        loads = [a for a in actions if isinstance(a, LoadUnit)]
        assert {a.unit for a in loads} == {f"m{i}@1" for i in range(4)}
        assert len({a.target for a in loads}) == 3

    def test_no_actions_if_all_models_are_resident(self):
        """With all units resident and little work, the plan is empty."""
        assert plan(make_state(ALL_RESIDENT, {"m0": 1.0, "m1": 0.5})) == []

    def test_missing_adapter_is_loaded_beside_its_base(self):
        """An adapter is loaded on every target on which its base serves."""
        rows = (("m0@1",), *ALL_RESIDENT[1:])
        assert summarize(plan(make_state(rows))) == [("load", "a0@1", "w0")]

    def test_overloaded_model_gets_a_replica(self):
        """Work beyond the capacity of its target adds a replica elsewhere."""
        actions = plan(make_state(ALL_RESIDENT, {"m0": 9.0}))
        assert [a.unit for a in actions if isinstance(a, LoadUnit)] == ["m0@1"]
        assert all(a.target != "w0" for a in actions)

    def test_no_replica_if_its_cost_exceeds_its_gain(self):
        """A replica whose gain is below the price of its move is not loaded."""
        policy = {"move_price": 10_000}
        assert plan(make_state(ALL_RESIDENT, {"m0": 9.0}, policy=policy)) == []

    def test_paused_planner_only_loads_missing_models(self):
        """While paused, missing models are loaded but no replicas are added."""
        rows = (ALL_RESIDENT[0], ("m1@1",), ALL_RESIDENT[2])
        actions = plan(make_state(rows, {"m0": 9.0}, policy={"paused": True}))
        assert [a.unit for a in actions] == ["m3@1"]

    @pytest.mark.parametrize(
        ("rows", "expected"),
        [
            (ALL_RESIDENT, [("load", "m1@2", "w2")]),
            (
                (ALL_RESIDENT[0], ALL_RESIDENT[1], ("m2@1", "m1@2")),
                [("retire", "m1@1", "w1")],
            ),
        ],
    )
    def test_old_version_is_retired_after_the_new_one_serves(self, rows, expected):
        """The old version is retired only once the new one serves."""
        models = deployment_document()["models"]
        models[1] = {**models[1], "version": "2"}
        assert summarize(plan(make_state(rows, models=models))) == expected

    def test_pool_full_of_old_versions_frees_memory(self):
        """Old versions are retired if another replica of their model serves.

        Otherwise the full pool could never load the first new version.
        """
        models = [
            {**model, "version": "9", "memory_mb": 40, "loading_peak_mb": 12}
            for model in deployment_document()["models"]
        ]
        rows = (("m0@1", "m3@1"), ("m1@2", "m1@4"), ("m2@1", "m3@1"))
        pool_state = make_state(rows, models=models)
        old = Charge("", 40, 0, SERVING, 1)
        ledger = {
            name: replace(row, charges=tuple(replace(old, unit=u) for u in units))
            for (name, row), units in zip(pool_state.rows.items(), rows, strict=True)
        }
        actions = plan(replace(pool_state, rows=ledger))
        retired = {(a.target, a.unit) for a in actions}
        assert all(isinstance(a, RetireUnit) for a in actions)
        assert retired
        remaining = {
            u
            for name, row in zip(NAMES, rows, strict=True)
            for u in row
            if (name, u) not in retired
        }
        assert {unit.partition("@")[0] for unit in remaining} == {
            "m0",
            "m1",
            "m2",
            "m3",
        }

    def test_drained_target_keeps_last_replica_until_another_serves(self):
        """Models of a drained target are loaded elsewhere before they are retired."""
        actions = plan(make_state(ALL_RESIDENT, excluded=frozenset({"w2"})))
        assert [(a.unit, type(a)) for a in actions] == [("m2@1", LoadUnit)]
        loaded = (ALL_RESIDENT[0], ALL_RESIDENT[1], ("m2@1",))
        with_replica = (("m0@1", "a0@1", "m2@1"), *loaded[1:])
        actions = plan(make_state(with_replica, excluded=frozenset({"w2"})))
        assert summarize(actions) == [("retire", "m2@1", "w2")]

    def test_models_of_silent_target_are_loaded_elsewhere(self):
        """Models of a silent target are loaded elsewhere, and none is retired."""
        silent = frozenset({"w2"})
        actions = plan(make_state(ALL_RESIDENT, excluded=silent, silent=silent))
        assert [(a.unit, type(a)) for a in actions] == [("m2@1", LoadUnit)]

    def test_undeclared_units_are_retired(self):
        """Units that are no longer declared are retired."""
        rows = (ALL_RESIDENT[0], ALL_RESIDENT[1], ("m2@1", "old@1"))
        assert summarize(plan(make_state(rows))) == [("retire", "old@1", "w2")]

    def test_pins_are_loaded_and_bans_retired(self):
        """Pinned models are loaded; banned ones are retired once others serve."""
        pin_actions = plan(
            make_state(ALL_RESIDENT, pins=[{"model": "m2", "target": "w1"}])
        )
        assert summarize(pin_actions) == [("load", "m2@1", "w1")]
        rows = (ALL_RESIDENT[0], ALL_RESIDENT[1], ("m2@1", "m1@1"))
        ban_actions = plan(make_state(rows, bans=[{"model": "m1", "target": "w1"}]))
        assert summarize(ban_actions) == [("retire", "m1@1", "w1")]

    def test_last_replica_is_never_retired(self):
        """A banned replica is kept while no other replica serves."""
        actions = plan(make_state(ALL_RESIDENT, bans=[{"model": "m1", "target": "w1"}]))
        assert not any(isinstance(a, RetireUnit) for a in actions)
