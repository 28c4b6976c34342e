"""Steps that write logs, read them back and request a router's admin pages."""

import asyncio
import contextlib
import io
import json
import os
import sys
import time
from pathlib import Path

from behave import given, then, when

from pulley_adapter.headers import HEADER_CODEC
from pulley_base import Clock
from pulley_base.log_lines import read_lines
from pulley_direct.admin import answer_operator
from pulley_direct.endpoints.limits import record_limit
from pulley_direct.logs import MAX_BURST_LINES, BoundedStream, make_line_budget
from pulley_direct.state.channels import ChannelPool
from pulley_direct.state.counters import observe_ms
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.loads import LoadTable, close_endpoint, get_state
from pulley_direct.state.models import Configuration, Endpoint, RouterSettings
from pulley_direct.state.routers import Router
from pulley_direct.store.beliefs import apply_entries, record_store_success
from pulley_http import Limits, Request
from pulley_router.explain import explain, format_line, select_trace

STORE_LOST = 'time="1" event=store_lost reason="no answer" age_ms=2511'
STORE_REGAINED = 'time="3" event=store_regained lasted_ms=9'
REFUSED = (
    'time="2" event=request_refused request=r-1 status=503 '
    'reason=configuration-stale detail="last confirmed 5415 ms ago"'
)
OTHER_REQUEST = 'time="1" event=request_answered request=r-2 status=200'


@when("a process logs {n_lines:d} lines into a pipe that nobody reads")
def log_without_reader(context, n_lines):
    reader, writer = os.pipe()
    now_ms = [0]
    budget = make_line_budget(Clock(lambda: now_ms[0]))
    budget.bucket.left = float(n_lines)
    stream = BoundedStream(writer, budget)
    started = time.monotonic()
    for number in range(n_lines):
        now_ms[0] += 10
        stream.write(f"event=test number={number} {'x' * 200}\n")
    context.took_s = time.monotonic() - started
    context.n_dropped = budget.n_dropped
    os.read(reader, 1 << 20)
    stream.write("event=after\n")
    context.output = os.read(reader, 1 << 20).decode()
    os.close(reader)
    os.close(writer)


@then("it took less than {seconds:d} s")
def check_time(context, seconds):
    assert context.took_s < seconds, context.took_s


@then("the first line written after the reader resumes says how many were dropped")
def check_dropped(context):
    assert context.n_dropped > 0
    expected = f"event=lines_dropped count={context.n_dropped}\nevent=after\n"
    assert context.output == expected, context.output


@when("a process logs {n_lines:d} lines at once")
def log_burst(context, n_lines):
    reader, writer = os.pipe()
    stream = BoundedStream(writer, make_line_budget(Clock(lambda: 0)))
    for _ in range(n_lines):
        stream.write("x\n")
    context.n_written = os.read(reader, 1 << 20).count(b"\n")
    os.close(reader)
    os.close(writer)


@when("a process logs a lone surrogate")
def log_surrogate(context):
    reader, writer = os.pipe()
    stream = BoundedStream(writer, make_line_budget(Clock(lambda: 0)))
    stream.write("event=test key=\ud800\n")
    context.output = os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)


@then("the line is written with an escape for it")
def check_escape(context):
    assert context.output == b"event=test key=\\ud800\n", context.output


@then("at most {most:d} of them are written")
def check_written(context, most):
    assert MAX_BURST_LINES == most
    assert 0 < context.n_written <= most, context.n_written


@given("logs of two routers, one of which lost the store")
def given_logs(context):
    context.lines = [
        *read_lines("a.log", [STORE_REGAINED, REFUSED, STORE_LOST, "no event here"]),
        *read_lines("b.log", [OTHER_REQUEST, STORE_LOST]),
    ]


@when("the lines about a refused request are selected")
def select_request_lines(context):
    trace = select_trace("r-1", context.lines)
    context.trace = [format_line(line) for line in trace.background + trace.lines]


@then("they begin with the lost store and end with the refusal")
def check_trace(context):
    first, last = context.trace
    assert "store_lost  reason=no answer" in first, first
    assert "detail=last confirmed 5415 ms ago" in last, last


@then("they include no line of the other router")
def check_no_other(context):
    assert not any("b.log" in line for line in context.trace), context.trace


@when("explain is run for {case}")
def run_explain(context, case):
    err = io.StringIO()
    with contextlib.redirect_stderr(err):
        if case == "a missing file":
            context.status = explain("r-1", "missing.log")
        else:
            context.status = explain("nobody", str(Path(__file__)))
    context.output = err.getvalue()


@then('it exits with {status:d} and says "{text}"')
def check_explain(context, status, text):
    assert (context.status, text in context.output) == (status, True), context.output


def make_router():
    clock = Clock(lambda: 5_000)
    settings = RouterSettings(
        "router-1", "127.0.0.1", "here", "127.0.0.1:1", "127.0.0.1:2", (0, 0), "x:1"
    )
    fleet_view = FleetView(clock)
    router = Router(
        settings, HEADER_CODEC, clock, fleet_view, ChannelPool(clock), LoadTable(clock)
    )
    found = Configuration(7, (), {}, Limits(), {}, True)
    endpoint = Endpoint("e-1", "shop", "10.0.0.1:80", slots=4)
    apply_entries(fleet_view, [found, endpoint])
    record_store_success(fleet_view, 4_200)
    get_state(router.loads, "e-1").in_flight = 3
    close_endpoint(router.loads, "e-1", 500)
    record_limit(router, endpoint, 4.9)
    return router


@when(
    "metrics and status are requested from a router that answered and refused requests"
)
def request_admin_pages(context):
    router = make_router()
    router.counters.answers[200] += 2
    router.counters.refusals["no-route"] += 1
    observe_ms(router.counters.first_byte, 40)
    context.texts = {}
    for path in ("/metrics", "/status"):
        response = asyncio.run(answer_operator(router, Request("GET", path, [], b"")))
        context.texts[path] = response.body.decode()
    assert "prometheus_client" in sys.modules


@then("its metrics count both and contain the time of the answer")
def check_metrics(context):
    text = context.texts["/metrics"]
    for line in (
        'plantainpulley_direct_answers_total{status="200"} 2.0',
        'plantainpulley_direct_refusals_total{reason="no-route"} 1.0',
        'plantainpulley_direct_first_byte_ms_bucket{le="50"} 1.0',
        "plantainpulley_direct_configuration_age_ms 800.0",
    ):
        assert line in text, text


@then("its status contains the version in force, its age and each endpoint's load")
def check_status(context):
    status = json.loads(context.texts["/status"])
    assert status["configuration"]["version"] == 7, status
    assert status["configuration"]["age_ms"] == 800, status
    (endpoint,) = status["endpoints"]
    assert (endpoint["name"], endpoint["load"]) == ("e-1", 3), status


@then("both tell which endpoints leave, are closed or have a limit")
def check_withheld(context):
    (endpoint,) = json.loads(context.texts["/status"])["endpoints"]
    found = endpoint["leaving"], endpoint["closed_ms"], endpoint["limit_per_s"]
    assert found == (False, 500, 4.9), endpoint
    for line in (
        "plantainpulley_direct_leaving_endpoints 0.0",
        "plantainpulley_direct_closed_endpoints 1.0",
        "plantainpulley_direct_limited_endpoints 1.0",
    ):
        assert line in context.texts["/metrics"], line
