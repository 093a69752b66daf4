"""Test the gateway soak with short runs; longer ones are started manually."""

import pytest

from runhatch_standins import _gateway_checks
from runhatch_standins.gateway_soak import (
    ALL_KINDS,
    BRITTLE_KINDS,
    FIRST_KINDS,
    HOLDER_KINDS,
    PARTITION_KINDS,
    PROMPT_KINDS,
    RELEASE_KINDS,
    STREAM_KINDS,
    GatewayFault,
    plan_faults,
    soak_gateways,
)

SECONDS = 12.0
WITHOUT_FAULTS = 3.0
"""Duration in seconds of a run that is too short for any planned fault."""


class TestPlan:
    """The seed determines the faults of a run."""

    def test_plan_is_equal_for_equal_seeds(self):
        assert plan_faults(7, 60.0) == plan_faults(7, 60.0)

    @pytest.mark.parametrize(
        ("kinds", "expected"),
        [
            (HOLDER_KINDS, [*GatewayFault][:21]),
            (STREAM_KINDS, [*GatewayFault][:24]),
            (PARTITION_KINDS, [*GatewayFault][:25]),
            (RELEASE_KINDS, RELEASE_KINDS),
            (BRITTLE_KINDS, BRITTLE_KINDS),
            (PROMPT_KINDS, PROMPT_KINDS),
        ],
        ids=["holder", "streams", "partition", "release", "brittle", "prompts"],
    )
    def test_every_kind_of_fault_is_planned(self, kinds, expected):
        planned_kinds = {
            fault.kind for seed in range(20) for fault in plan_faults(seed, 60.0, kinds)
        }

        assert planned_kinds == {*expected}

    @pytest.mark.parametrize(
        ("kinds", "count", "last"),
        [
            (
                FIRST_KINDS,
                70,
                [
                    GatewayFault.FOREIGN_ENTRY,
                    GatewayFault.STORE_LOSES,
                    GatewayFault.TARGET_FAILS,
                ],
            ),
            (
                ALL_KINDS,
                67,
                [
                    GatewayFault.RATE_LIMIT,
                    GatewayFault.TARGET_FAILS,
                    GatewayFault.RELOAD,
                ],
            ),
        ],
    )
    def test_plans_of_existing_kinds_do_not_change(self, kinds, count, last):
        planned = plan_faults(2, 60.0, kinds)

        assert len(planned) == count
        assert [fault.kind for fault in planned[-3:]] == last


class TestSoak:
    """Checks of answers, runs, refusals, orders, recovery, memory and exits."""

    @pytest.mark.parametrize(
        ("seed", "seconds", "gateways", "kinds"),
        [
            (1, SECONDS, 2, FIRST_KINDS),
            # With this seed a gateway once ended by SIGABRT after SIGTERM.
            (32, 15.0, 3, FIRST_KINDS),
            (2, SECONDS, 3, ALL_KINDS),
            (3, SECONDS, 3, STREAM_KINDS),
            (4, SECONDS, 3, RELEASE_KINDS),
            (5, SECONDS, 3, BRITTLE_KINDS),
            (7, 16.0, 3, PROMPT_KINDS),
        ],
    )
    def test_run_has_no_violations(self, seed, seconds, gateways, kinds):
        soak = soak_gateways(seed, seconds, gateways, kinds=kinds)

        assert soak.violations == []
        assert soak.events

    @pytest.mark.parametrize(
        ("planted", "found"),
        [
            ("run_twice", ["may run once"]),
            ("wrong_body", ["instead of"]),
            ("skip_event", ["instead of 'id: 1"]),
            ("short_stream unframed", ["not closed by a target"]),
            ("untrue_refusal", ["refused as not run, ran", "does not serve"]),
            ("lower_fence", [": fence 0 of n1 at"]),
            ("shared_fence", ["fence 1 has holders n1, n1-other"]),
            ("two_holders", ["n1-other orders by 2 at"]),
        ],
    )
    def test_injected_fault_is_detected(self, planted, found, monkeypatch):
        monkeypatch.setattr(_gateway_checks, "RECOVERY_SECONDS", 0.1)

        soak = soak_gateways(1, WITHOUT_FAULTS, gateways=2, planted=planted)

        for text in found:
            assert any(text in violation for violation in soak.violations)
