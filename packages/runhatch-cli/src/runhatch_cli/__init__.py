"""The ``runhatch`` command line for operators."""

from runhatch_cli._language import Sentence, parse

__all__ = ["Sentence", "parse"]
