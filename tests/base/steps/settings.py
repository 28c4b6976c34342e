"""Steps for the settings."""

from behave import then, when
from pydantic import Field

from pulley_base.errors import SettingsError
from pulley_base.settings import Settings, check_settings


class ExampleSettings(Settings):
    """Settings with a single flag."""

    port: int = Field(80, description="a port number")


@when("the settings {pairs} are validated")
def validate(context, pairs):
    values = dict(pair.split("=") for pair in pairs.split())
    context.error_message = ""
    try:
        check_settings(ExampleSettings, values)
    except SettingsError as error:
        context.error_message = str(error)


@then("the error message names --port, 'abc' and \"a port number\"")
def check_port_error(context):
    for part in ("--port", "'abc'", "a port number"):
        assert part in context.error_message, context.error_message


@then("an error message is given for colour")
def check_unknown_error(context):
    assert context.error_message, "an unknown setting was accepted"
