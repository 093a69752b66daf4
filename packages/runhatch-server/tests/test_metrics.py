"""Metrics: what is served, and the page that lists them."""

from pathlib import Path

import pytest

from runhatch_server.observability import Metrics
from runhatch_server.observability._reference import metrics_reference


class TestReference:
    """The page that lists the metrics."""

    def test_page_is_up_to_date(self):
        """docs/operations/metrics.md is what the daemon keeps now."""
        page = Path(__file__).parents[3] / "docs" / "operations" / "metrics.md"
        assert page.read_text() == metrics_reference()

    @pytest.mark.parametrize("family", Metrics().families, ids=lambda f: f.name)
    def test_each_metric_listed_is_served(self, family):
        base = family.name.removesuffix("_total")

        assert f"# HELP {base}" in Metrics().exposition().decode()
