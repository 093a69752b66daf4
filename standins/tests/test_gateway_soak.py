"""A short run of the gateways' soak; longer ones are started by hand."""

import pytest

from runhatch_standins import gateway_soak
from runhatch_standins.gateway_soak import (
    ALL_KINDS,
    FIRST_KINDS,
    HOLDER_KINDS,
    GatewayFault,
    plan_faults,
    soak_gateways,
)

SECONDS = 12.0
WITHOUT_FAULTS = 3.0
"""Seconds in which no fault is planned."""


class TestPlan:
    """The faults of a run follow from its seed."""

    def test_it_is_the_same_each_time(self):
        assert plan_faults(7, 60.0) == plan_faults(7, 60.0)

    def test_every_fault_comes(self):
        seen = {
            fault.kind
            for seed in range(20)
            for fault in plan_faults(seed, 60.0, HOLDER_KINDS)
        }

        assert seen == {*GatewayFault}

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
    def test_later_kinds_leave_earlier_plans_as_they_were(self, kinds, count, last):
        planned = plan_faults(2, 60.0, kinds)

        assert len(planned) == count
        assert [fault.kind for fault in planned[-3:]] == last


class TestSoak:
    """Answers, runs, refusals, orders, recovery, memory, exit statuses."""

    @pytest.mark.parametrize(
        ("seed", "seconds", "gateways", "kinds"),
        [
            (1, SECONDS, 2, FIRST_KINDS),
            # A gateway that was told to stop ended by SIGABRT, once.
            (32, 15.0, 3, FIRST_KINDS),
            (2, SECONDS, 3, ALL_KINDS),
        ],
    )
    def test_no_promise_is_broken(self, seed, seconds, gateways, kinds):
        soak = soak_gateways(seed, seconds, gateways, kinds=kinds)

        assert soak.violations == []
        assert soak.events

    @pytest.mark.parametrize(
        ("planted", "found"),
        [
            ("run_twice", ["may run once"]),
            ("wrong_body", ["instead of"]),
            ("untrue_refusal", ["refused as not run, ran", "does not serve"]),
            ("lower_fence", [": fence 0 of n1 at"]),
            ("shared_fence", ["fence 1 has holders n1, n1-other"]),
            ("two_holders", ["n1-other orders by 2 at"]),
        ],
    )
    def test_a_planted_fault_is_found(self, planted, found, monkeypatch):
        monkeypatch.setattr(gateway_soak, "RECOVERY_SECONDS", 0.1)

        soak = soak_gateways(1, WITHOUT_FAULTS, gateways=2, planted=planted)

        for each in found:
            assert any(each in violation for violation in soak.violations)
