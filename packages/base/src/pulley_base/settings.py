"""Settings from flags and environment variables, validated at startup."""

import inspect
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from .errors import SettingsError

ENVIRONMENT_PREFIX = "PLANTAINPULLEY_"
EXIT_BAD_SETTING = 2
TRUE_VALUES = ("1", "true", "yes")

Model = TypeVar("Model", bound="Settings")


class Settings(BaseModel):
    """Base class of each binary's settings: immutable, without unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def flag_name(field: str) -> str:
    """Return the flag of a field: ``--data-centre`` for ``data_centre``."""
    return "--" + field.replace("_", "-")


def variable_name(field: str) -> str:
    """Return the environment variable of a field, with the common prefix."""
    return ENVIRONMENT_PREFIX + field.upper()


def check_settings(model: type[Model], values: Mapping[str, str]) -> Model:
    """Validate ``values`` and return the settings as ``model``.

    Raises SettingsError with one line for each invalid setting, which names the
    flag, its value and the allowed values.
    """
    try:
        return model(**values)
    except ValidationError as error:
        lines = [describe_problem(model, problem) for problem in error.errors()]
        raise SettingsError("\n".join(lines), step="settings") from error


def describe_problem(model: type[Settings], problem: dict) -> str:
    """Return a message with flag, value and allowed values of an invalid setting.

    For an unknown field it is the validator's own message.
    """
    field = str(problem["loc"][0]) if problem["loc"] else ""
    if field not in model.model_fields:
        return problem["msg"]
    value = problem["input"] if problem["type"] != "missing" else ""
    allowed = model.model_fields[field].description or ""
    return f"{flag_name(field)}={value!r}: {problem['msg']} (allowed: {allowed})"


def settings_command(
    model: type[Model],
    run: Callable[[Model], int | None],
    summary: str,
    positional: str = "",
) -> Callable[..., int]:
    """Build a defopt command with one flag for each field of ``model``.

    A flag that is not given takes the value of its environment variable, then the
    field's default. The field named ``positional``, if any, is a positional
    argument. ``run`` gets the validated settings and returns the exit code.
    """

    def command(*arguments: str, **flags: str | bool | None) -> int:
        if arguments:
            flags[positional] = arguments[0]
        values = {name: value for name, value in flags.items() if value is not None}
        try:
            settings = check_settings(model, values)
        except SettingsError as error:
            for line in error.args[0].splitlines():
                print(line, file=sys.stderr)
            return EXIT_BAD_SETTING
        return run(settings) or 0

    parameters = flag_parameters(model)
    if positional:
        argument = inspect.Parameter(
            positional, inspect.Parameter.POSITIONAL_OR_KEYWORD, annotation=str
        )
        others = [item for item in parameters if item.name != positional]
        parameters = [argument, *others]
    command.__signature__ = inspect.Signature(parameters)
    command.__doc__ = command_help(model, summary)
    return command


def flag_parameters(model: type[Settings]) -> list[inspect.Parameter]:
    """Return a parameter for each field, with its default from the environment."""
    return [flag_parameter(model, name) for name in model.model_fields]


def flag_parameter(model: type[Settings], name: str) -> inspect.Parameter:
    """Build a field's keyword parameter; a field of type bool takes no value."""
    variable = os.environ.get(variable_name(name))
    is_bool = model.model_fields[name].annotation is bool
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=variable in TRUE_VALUES if is_bool else variable,
        annotation=bool if is_bool else str | None,
    )


def command_help(model: type[Settings], summary: str) -> str:
    """Build the docstring that defopt renders as ``--help``."""
    lines = [summary, "", "Parameters", "----------"]
    for name, field in model.model_fields.items():
        default = "" if field.is_required() else f" Default: {field.default}."
        kind = "bool" if field.annotation is bool else "str"
        lines.append(f"{name} : {kind}")
        lines.append(
            f"    {field.description}.{default} Environment: {variable_name(name)}."
        )
    return "\n".join(lines)


def run_command(commands: Callable | Mapping[str, Callable], argv: Sequence[str]):
    """Run the command line ``argv`` and return the exit code."""
    import defopt

    try:
        return defopt.run(commands, argv=list(argv), show_defaults=False) or 0
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else 1
