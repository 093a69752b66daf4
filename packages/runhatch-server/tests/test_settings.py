"""Loading of settings files, which reports all faults, one line each."""

import json
from pathlib import Path

import pytest

from runhatch_server._errors import SettingsError
from runhatch_server.settings import load_settings
from runhatch_server.settings._reference import settings_reference

VALID_SETTINGS = {
    "node": {"name": "n1", "failure_domain": "d1"},
    "callers": {"host": "127.0.0.1", "port": 7401},
    "operators": {"host": "127.0.0.1", "port": 7402},
    "peers": {"host": "127.0.0.1", "port": 7403},
    "platform": {
        "store_url": "http://127.0.0.1:1",
    },
}


@pytest.fixture
def write_settings(tmp_path):
    def write_settings_file(document):
        path = tmp_path / "node.json5"
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text)
        return path

    return write_settings_file


class TestReference:
    """The reference page of the settings."""

    def test_page_is_up_to_date(self):
        """docs/operations/settings.md equals the page generated from the models."""
        page = Path(__file__).parents[3] / "docs" / "operations" / "settings.md"
        assert page.read_text() == settings_reference()


class TestLoadSettings:
    """Valid and invalid settings files."""

    def test_comments_and_defaults(self, write_settings):
        """Comments are allowed, and omitted fields have defaults."""
        settings = load_settings(
            write_settings("// a node\n" + json.dumps(VALID_SETTINGS))
        )
        assert settings.serving.threads == 160

    @pytest.mark.parametrize(
        ("section", "value", "line"),
        [
            ("node", {"name": "n 1", "failure_domain": "d"}, "node.name: found 'n 1'"),
            ("callers", {"host": "h", "port": 1}, "an IP number such as 127.0.0.1"),
            ("callers", {"host": "127.0.0.1", "port": 70000}, "callers.port: found"),
            ("serving", {"threads": 0}, "serving.threads: found 0, allowed:"),
            ("serving", {"thread": 9}, "serving.thread: unknown field"),
            (
                "peering",
                {"heartbeat_seconds": 2},
                "suspect_seconds 3.5 must be at least 3 times heartbeat_seconds, 6",
            ),
            ("logs", {"level": "loud"}, "'error', 'change' or 'request'"),
            ("node", {"name": "n1"}, "node.failure_domain: missing"),
            (
                "operators",
                {"host": "10.0.0.1", "port": 1},
                "beyond loopback needs at least one access.tokens entry",
            ),
            (
                "access",
                {"tokens": [{"name": "o", "role": "read", "token_env": "NO_SUCH"}]},
                "access.tokens.0.token_env: found no variable NO_SUCH",
            ),
        ],
    )
    def test_fault_names_field_and_value(self, write_settings, section, value, line):
        """A fault line names the field, the value found and the values allowed."""
        with pytest.raises(SettingsError) as caught:
            load_settings(write_settings({**VALID_SETTINGS, section: value}))
        assert any(line in fault for fault in caught.value.faults)

    def test_all_faults_are_reported_together(self, write_settings):
        """All faults of a file are reported together."""
        document = {
            **VALID_SETTINGS,
            "serving": {"threads": 0, "queue_limit": 0},
            "x": 1,
        }
        with pytest.raises(SettingsError) as caught:
            load_settings(write_settings(document))
        assert len(caught.value.faults) == 3

    def test_fault_does_not_contain_token(self, write_settings):
        """The fault of an invalid token does not contain the token."""
        tokens = [{"name": "o", "role": "read", "token": ["hunter2"]}]
        with pytest.raises(SettingsError) as caught:
            load_settings(
                write_settings({**VALID_SETTINGS, "access": {"tokens": tokens}})
            )
        assert "hunter2" not in str(caught.value)

    @pytest.mark.parametrize("text", ["{", "nonsense", ""])
    def test_file_is_not_json(self, write_settings, text):
        """A file that is not JSON with comments is reported as such."""
        with pytest.raises(SettingsError, match="not JSON with comments"):
            load_settings(write_settings(text))
