"""The operators' command line: ``runhatch``."""

from runhatch_cli._language import Sentence, parse

__all__ = ["Sentence", "parse"]
