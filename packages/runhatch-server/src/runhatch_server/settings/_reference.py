"""Generates the reference page of the settings from the models."""

from pydantic import BaseModel

from runhatch_server.settings._models import Settings

PAGE_HEADER = """# Settings

Generated from the models by `make settings-reference`. Durations are in
seconds, sizes in bytes. Unknown fields are faults.
"""


def settings_reference() -> str:
    """Return the Markdown page that lists all fields of the settings file."""
    sections = [PAGE_HEADER]
    for name, field in Settings.model_fields.items():
        model = field.annotation
        if isinstance(model, type) and issubclass(model, BaseModel):
            required = "required" if field.is_required() else "optional"
            sections.append(_section(name, required, model))
    return "\n".join(sections)


def _section(name: str, required: str, model: type[BaseModel]) -> str:
    lines = [f"## {name} ({required})", ""]
    if model.__doc__:
        lines += [model.__doc__.strip().splitlines()[0], ""]
    lines += ["| field | default | meaning |", "| --- | --- | --- |"]
    for field_name, field in model.model_fields.items():
        default = (
            "required" if field.is_required() else f"`{_format_default(field.default)}`"
        )
        lines.append(f"| `{field_name}` | {default} | {field.description or ''} |")
    return "\n".join([*lines, ""])


def _format_default(value: object) -> str:
    return str(getattr(value, "value", value))


if __name__ == "__main__":
    print(settings_reference(), end="")
