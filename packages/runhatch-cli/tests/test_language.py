"""Parsing of sentences of the operators' language."""

import pytest

from runhatch_cli import parse
from runhatch_cli._errors import LanguageError


class TestParse:
    """Documents of valid sentences and errors of invalid ones."""

    @pytest.mark.parametrize(
        ("text", "document"),
        [
            ("show models", {"noun": "models"}),
            ("SHOW Models LIMIT 3", {"noun": "models", "limit": 3}),
            (
                "show models where loaded on w3",
                {
                    "noun": "models",
                    "where": [{"field": "targets", "comparison": "has", "value": "w3"}],
                },
            ),
            (
                "show requests where status != 200 and caller = port-authority",
                {
                    "noun": "requests",
                    "where": [
                        {"field": "status", "comparison": "!=", "value": 200.0},
                        {
                            "field": "caller",
                            "comparison": "=",
                            "value": "port-authority",
                        },
                    ],
                },
            ),
            (
                'show orders where unit has "m0@1" order by held_mb desc limit 5',
                {
                    "noun": "orders",
                    "where": [{"field": "unit", "comparison": "has", "value": "m0@1"}],
                    "order_by": "held_mb",
                    "descending": True,
                    "limit": 5,
                },
            ),
            ("load m1 on w2", {"verb": "load", "model": "m1", "target": "w2"}),
            ("unload m1 from w2", {"verb": "unload", "model": "m1", "target": "w2"}),
            ("drain w2", {"verb": "drain", "target": "w2"}),
            ("restore 12", {"verb": "restore", "revision": 12}),
            ("pause", {"verb": "pause"}),
        ],
    )
    def test_valid_sentence(self, text, document):
        """A sentence becomes the document that is sent to a node."""
        assert parse(text).document == document

    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("show drums", "column 6: found 'drums', allowed:"),
            ("load m1", "column 8: found the end, allowed: on"),
            ("", "column 1: found the end"),
            ("show models limit many", "column 19: found 'many', allowed: int"),
        ],
    )
    def test_error_names_column_and_allowed_words(self, text, words):
        """The error of an invalid sentence names the column and the allowed words."""
        with pytest.raises(LanguageError) as caught:
            parse(text)
        assert words in str(caught.value)
