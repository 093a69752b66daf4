"""Loads the settings file, which is JSON with comments."""

import os
from pathlib import Path

import json5
from pydantic import ValidationError

from runhatch_server._errors import SettingsError
from runhatch_server.settings._models import Settings
from runhatch_server.validation import format_validation_errors

SECRET_FIELDS = frozenset({"token"})


def load_settings(path: Path) -> Settings:
    """Read and validate the settings file at ``path``.

    Raises :class:`~runhatch_server._errors.SettingsError` listing all
    faults; each one names the field, the value found and the values allowed.
    """
    try:
        document = json5.loads(path.read_text())
    except OSError as error:
        raise SettingsError((f"{path}: {error.strerror}",)) from None
    except ValueError as error:
        raise SettingsError((f"{path}: not JSON with comments: {error}",)) from None
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error, SECRET_FIELDS)) from None
    missing = _missing_files(settings)
    if missing:
        raise SettingsError(missing)
    return settings


def _missing_files(settings: Settings) -> tuple[str, ...]:
    faults = []
    for index, token in enumerate(settings.access.tokens):
        field = f"access.tokens.{index}"
        if token.token_file is not None and not token.token_file.is_file():
            faults.append(f"{field}.token_file: found no file at {token.token_file}")
        if token.token_env is not None and token.token_env not in os.environ:
            faults.append(f"{field}.token_env: found no variable {token.token_env}")
    if settings.peering.tls is not None:
        for name, path in settings.peering.tls:
            if not path.is_file():
                faults.append(f"peering.tls.{name}: found no file at {path}")
    return tuple(faults)
