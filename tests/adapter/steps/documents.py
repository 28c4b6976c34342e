"""Steps that decode the platform's documents and headers."""

import copy
import json

from behave import then, when
from samples import CONFIGURATION, ENDPOINT_ENTRY

from pulley_adapter.documents import decode_entry
from pulley_adapter.headers import read_call
from pulley_base import ProtocolError
from pulley_direct.state.models import Endpoint, RetryClass, Team
from pulley_http import Request


def remove_field(name):
    return lambda row: row.pop(name)


def set_field(name, value):
    return lambda row: row.update({name: value})


def in_first_route(change):
    return lambda row: change(row["routes"][0])


CONFIGURATION_FAULTS = {
    "no version": remove_field("version"),
    "a version that is a string": set_field("version", "7"),
    "routes that are not a list": set_field("routes", {"a": 1}),
    "a route without a host": in_first_route(remove_field("host")),
    "a route of an unknown type": in_first_route(set_field("type", "keyed")),
    "a weight that is a string": in_first_route(
        set_field("split", [{"service": "model", "weight": "all"}])
    ),
    "a timeout that is a list": in_first_route(set_field("timeoutMs", [1])),
}
ENTRY_FAULTS = {
    "no service": remove_field("service"),
    "no slots": remove_field("slots"),
    "slots that are a boolean": set_field("slots", True),
    "an unknown state": set_field("state", "resting"),
    "an address without a port": set_field("address", "10.0.0.9"),
    "a start time that is a string": set_field("born", "yesterday"),
}


@when("a valid configuration of the platform is decoded")
def decode_valid_configuration(context):
    context.found = decode_entry("op/config", json.dumps(CONFIGURATION).encode())


@then("its routes, shares, services, limits and teams match the document")
def check_configuration(context):
    found = context.found
    chat, order = found.routes
    assert (chat.host, chat.prefix, chat.retry_class) == (
        "one.example",
        "/chat/",
        RetryClass.STREAM,
    )
    assert [(share.service, share.weight) for share in chat.shares] == [
        ("model", 90),
        ("other", 10),
    ]
    assert chat.retryable and not order.retryable
    assert order.public and order.retry_class is RetryClass.NON_IDEMPOTENT
    assert found.services["model"].max_connections == 720
    assert found.limits.body_bytes == 4_194_304
    assert found.teams_by_token == {"k1": Team("orto", 1), "k2": Team("orto", 1)}


def decode_with_change(key, document, change):
    document = copy.deepcopy(document)
    change(document)
    try:
        return decode_entry(key, json.dumps(document).encode())
    except ProtocolError as error:
        return error


@when("a configuration with {fault} is decoded")
def decode_faulty_configuration(context, fault):
    context.found = decode_with_change(
        "op/config", CONFIGURATION, CONFIGURATION_FAULTS[fault]
    )


@when("an endpoint's entry with {fault} is decoded")
def decode_faulty_entry(context, fault):
    valid = decode_with_change("servers/e-1", ENDPOINT_ENTRY, lambda row: None)
    assert isinstance(valid, Endpoint), valid
    if fault == "bytes that are not JSON":
        try:
            context.found = decode_entry("servers/e-1", b"\xff\x00")
        except ProtocolError as error:
            context.found = error
        return
    context.found = decode_with_change(
        "servers/e-1", ENDPOINT_ENTRY, ENTRY_FAULTS[fault]
    )


@then('decoding fails with the step "{name}"')
def check_decode_error(context, name):
    assert isinstance(context.found, ProtocolError), context.found
    assert context.found.step == name, context.found


@when("a request with the header {header} of {value} is decoded")
def decode_header(context, header, value):
    request = Request("POST", "/a", [(header.encode(), value.encode())], b"")
    call = read_call(request)
    decoded = {
        "deadline-ms": str(call.timeout_ms),
        "last-event-id": str(call.last_event_id),
        "prompt-prefix": f"{len(call.parts)} parts",
        "authorization": str(call.token),
        "token-usage": f"{call.output_tokens} tokens",
    }
    context.decoded = decoded[header]


@then("the decoded value is {expected}")
def check_decoded_value(context, expected):
    assert context.decoded == expected, context.decoded
