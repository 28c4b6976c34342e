"""Steps that read odd entries beside sound ones."""

import base64
import json
import logging
from dataclasses import replace

from behave import then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st
from samples import ENDPOINT_ENTRY

from pulley_adapter.documents import encode_router
from pulley_adapter.headers import attempt_headers
from pulley_adapter.stores import decode_stored_item, slice_entries
from pulley_base import split_address
from pulley_direct.state.models import (
    AttemptParameters,
    Call,
    Endpoint,
    EndpointRemoved,
    RouterEntry,
    RouterRemoved,
)
from pulley_policy.spreads import Option, measure_spread

ODD_KEY = "servers/odd"
DEEP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def entry_text(**fields):
    return json.dumps(ENDPOINT_ENTRY | fields)


def with_number(name, text):
    """Return an entry whose field has a number that JSON can't have from a float."""
    return entry_text(**{name: "@"}).replace('"@"', text).encode()


def with_field(name, value):
    return entry_text(**{name: value}).encode()


ENTRIES = {
    "slots of 1e999": with_number("slots", "1e999"),
    "a start of 1e999": with_number("born", "1e999"),
    "a start of -1e999": with_number("born", "-1e999"),
    "slots that are not a number": with_number("slots", "NaN"),
    "slots of 10^400": with_number("slots", "1" + "0" * 400),
    "slots below 0": with_field("slots", -1),
    "slots of a million million": with_field("slots", 10**12),
    "a start after the year 5000": with_field("born", 10**15),
    "the port 70000": with_field("address", "10.0.0.9:70000"),
    "the port 0": with_field("address", "10.0.0.9:0"),
    "the port -1": with_field("address", "10.0.0.9:-1"),
    "a port of 5,000 digits": with_field("address", "10.0.0.9:" + "1" * 5_000),
    "a port in digits of another script": with_field("address", "10.0.0.9:٨٠٨٠"),
    "a line break in the address": with_field("address", "10.0.0.9\r\nx: y:80"),
    "a host that is a name": with_field("address", "engine.example:80"),
    "a host that is no address": with_field("address", "10.0.0.999:80"),
    "deep nesting": DEEP,
    "a service that is a list": with_field("service", ["model"]),
    "an address that is an object": with_field("address", {"ip": "10.0.0.9"}),
    "bytes that are not text": b"\xff\xfe\x00",
}
ODD_KEYS = {
    "a key with a line break": "servers/a\r\nb",
    "a key with a space": "servers/a b",
    "a key in another script": "servers/\u0635",
}
ROUTER_ENTRIES = {
    "the port 99999": b"10.0.0.9:99999",
    "no port": b"10.0.0.9",
    "a host that is a name": b"router.example:80",
    "bytes that are not text": b"\xff\xfe\x00",
}


def make_item(key, value):
    return {"key": key, "value": base64.b64encode(value).decode(), "revision": 7}


def read_items(items):
    stored = [decode_stored_item(item) for item in items]
    return [entry for entry in slice_entries(stored) if entry is not None]


@when("the store has an endpoint's entry with {fault} beside a sound one")
def read_endpoints(context, fault):
    key = ODD_KEYS.get(fault, ODD_KEY)
    value = ENTRIES.get(fault, entry_text().encode())
    sound = make_item("servers/sound", entry_text().encode())
    context.entries = read_items([make_item(key, value), sound])
    context.removed = EndpointRemoved(key.removeprefix("servers/"), 7)


def read_beside_sound(context, document):
    """Read an odd endpoint's entry beside a sound one, and keep what is logged."""
    items = [
        make_item(ODD_KEY, json.dumps(document).encode()),
        make_item("servers/sound", entry_text().encode()),
    ]
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(str(vars(record)))
    logger = logging.getLogger("pulley_adapter.stores")
    logger.addHandler(handler)
    try:
        context.entries = read_items(items)
    finally:
        logger.removeHandler(handler)
    context.lines = lines
    context.removed = EndpointRemoved("odd", 7)


@when("the store has an endpoint's entry without {field} beside a sound one")
def read_without_field(context, field):
    document = {key: ENDPOINT_ENTRY[key] for key in ENDPOINT_ENTRY if key != field}
    read_beside_sound(context, document)


@when("the store has an endpoint's entry whose {field} is a list beside a sound one")
def read_with_list(context, field):
    read_beside_sound(context, ENDPOINT_ENTRY | {field: []})


@then("a log line names {field}")
def check_logged(context, field):
    assert any(field in line for line in context.lines), context.lines


@then("both are read")
def check_both(context):
    assert [one.name for one in context.entries] == ["odd", "sound"], context.entries


@when("the store has a router's entry with {fault} beside a sound one")
def read_routers(context, fault):
    odd = make_item("pulley/routers/odd", ROUTER_ENTRIES[fault])
    sound = make_item("pulley/routers/sound", b"10.0.0.9:80")
    context.entries = read_items([odd, sound])
    context.removed = RouterRemoved("odd")


@then("the sound one is read and the odd one is removed")
def check_read(context):
    removed, sound = context.entries
    assert removed == context.removed, context.entries
    assert isinstance(sound, Endpoint | RouterEntry), context.entries
    assert sound.name == "sound", context.entries


@when("the store has an entry of a router without a port")
def read_portless(context):
    context.entries = read_items([make_item("pulley/routers/a", b"10.0.0.9:0")])


@then("it is read")
def check_portless(context):
    assert context.entries == [RouterEntry("a", "10.0.0.9:0")], context.entries


NUMBERS = st.integers() | st.floats() | st.integers(min_value=10**300)
TEXTS = st.text(max_size=20) | st.builds("{}:{}".format, st.text(max_size=8), NUMBERS)
ADDRESSES = st.builds("{}.{}.{}.{}:{}".format, *[st.integers(-9, 300)] * 4, NUMBERS)
VALUES = (
    st.none()
    | st.booleans()
    | NUMBERS
    | TEXTS
    | ADDRESSES
    | st.lists(NUMBERS, max_size=2)
    | st.dictionaries(TEXTS, NUMBERS, max_size=2)
)
CHANGES = st.dictionaries(st.sampled_from(sorted(ENDPOINT_ENTRY)), VALUES, max_size=3)
CALL = Call("id", "host", "/", "GET", "/", [])


def check_usable(endpoint):
    """Use an endpoint's fields as a router does; raises if one of them can't be."""
    host, port = split_address(endpoint.address)
    assert host.count(".") == 3 and 0 < port < 65_536, endpoint
    measure_spread([Option(endpoint.name, 1.0, share=max(1, endpoint.slots))], 2.0)
    attempt_headers(CALL, AttemptParameters(endpoint.name, 1, None, None, host))


@when("the store has endpoints' entries with any values in their fields")
def read_any(context):
    @settings(max_examples=1_000, deadline=None, derandomize=True)
    @any_of(CHANGES)
    def check(changes):
        value = json.dumps(ENDPOINT_ENTRY | changes).encode()
        sound = make_item("servers/sound", entry_text().encode())
        entries = read_items([make_item(ODD_KEY, value), sound])
        assert len(entries) == 2, entries
        for entry in entries:
            if isinstance(entry, Endpoint):
                check_usable(entry)

    context.check = check


@then("reading raises nothing, and each endpoint that is read can be used")
def check_any(context):
    context.check()


@when("a router in {centre} on a link of {link:d} Mbit/s writes its entry")
def write_router(context, centre, link):
    context.entry = RouterEntry("a", "10.0.0.9:80", centre, "key", link)


@then("that entry is read as it was meant")
def check_router(context):
    item = make_item("pulley/routers/a", encode_router(context.entry))
    assert read_items([item]) == [context.entry], read_items([item])


@then("without the link, as earlier versions write it, it is read too")
def check_earlier_router(context):
    entry = replace(context.entry, link_mbps=0)
    text = f"{entry.address} {entry.key} {entry.data_centre}"
    found = read_items([make_item("pulley/routers/a", text.encode())])
    assert found == [entry], found
