"""The exposed metrics and their reference page."""

from pathlib import Path

import pytest

from runhatch_server.observability import Metrics
from runhatch_server.observability._reference import metrics_reference


class TestReference:
    """The reference page of the metrics."""

    def test_page_is_up_to_date(self):
        """docs/operations/metrics.md equals the generated page."""
        page = Path(__file__).parents[3] / "docs" / "operations" / "metrics.md"
        assert page.read_text() == metrics_reference()

    @pytest.mark.parametrize("family", Metrics().families, ids=lambda f: f.name)
    def test_listed_metric_is_exposed(self, family):
        """Every metric of the reference page is in the exposition."""
        base = family.name.removesuffix("_total")

        assert f"# HELP {base}" in Metrics().render_exposition().decode()
