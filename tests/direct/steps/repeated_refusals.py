"""Steps with endpoints that write an earlier refusal once more."""

import asyncio
from collections import Counter
from dataclasses import replace

from behave import then, when
from pulley_platform_standins.endpoints import list_endpoint
from raw_endpoints import RawRequest, Script, add_raw_endpoints, encode_framed
from scenes import ORDER, call, start_fixture, wait_until_synced

BODY = b"booked"
TIMEOUT_MS = 400
# Time after which a busy endpoint is asked again.
BUSY_PAUSE_S = 0.3
ID_LINE = b"attempt-id: "


def encode_refusal(
    request: RawRequest, with_id: bool = True, status: int = 503
) -> bytes:
    """Return the refusal of a request as not run, perhaps without its id."""
    lines = encode_framed(request, "a length", b"full").split(b"\r\n")
    lines[0] = b"HTTP/1.1 %d x" % status
    lines.insert(1, b"not-executed: 1")
    if not with_id:
        lines = [line for line in lines if not line.startswith(ID_LINE)]
    return b"\r\n".join(lines)


class RefusingEndpoint:
    """Refuses the first request on a connection, repeats that, and runs the others.

    ``runs`` counts the runs of each request.
    """

    def __init__(self, with_id: bool, *, answers: bool = True, status: int = 503):
        self.with_id = with_id
        self.answers = answers
        self.status = status
        self.refusals = {}
        self.n_refused = 0
        self.runs = Counter()

    async def answer(self, request, writer):
        if not self.n_refused:
            self.n_refused += 1
            refusal = encode_refusal(request, self.with_id, self.status)
            self.refusals[id(writer)] = refusal
            writer.write(refusal)
            return
        self.runs[request.request_id] += 1
        writer.write(self.refusals.get(id(writer), b""))
        if self.answers:
            writer.write(encode_framed(request, "a length", BODY))


def send_two_orders(context, endpoint: RefusingEndpoint) -> None:
    """Send an order that is refused, and then the order in question."""

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([endpoint.answer])
            await add_raw_endpoints(fixture, "shop", 1, script)
            context.first = await call(fixture, ORDER, request_id="request-1")
            await asyncio.sleep(BUSY_PAUSE_S)
            context.answer = await call(
                fixture, ORDER, request_id="request-2", timeout_ms=TIMEOUT_MS
            )

    context.runs = endpoint.runs
    asyncio.run(run())


@when("an endpoint repeats another order's refusal {with_id} as it runs an order")
def repeat_refusal(context, with_id):
    send_two_orders(context, RefusingEndpoint(with_id == "with its id"))


@when(
    "an endpoint repeats another order's refusal without an id and runs an order on end"
)
def repeat_refusal_and_run(context):
    send_two_orders(context, RefusingEndpoint(with_id=False, answers=False))


@when(
    "an endpoint at another's address repeats that one's refusal as it runs the order"
)
def repeat_refusal_at_address(context):
    endpoint = RefusingEndpoint(with_id=True, status=421)

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([endpoint.answer])
            await add_raw_endpoints(fixture, "shop", 1, script)
            second = replace(fixture.endpoints[0], name="raw-1")
            list_endpoint(fixture.store, second)
            await wait_until_synced(fixture)
            context.answer = await call(
                fixture, ORDER, request_id="request-2", timeout_ms=TIMEOUT_MS
            )

    context.runs = endpoint.runs
    asyncio.run(run())


@when("an order is refused without an id on a new connection")
def refuse_on_new_connection(context):
    send_two_orders(context, RefusingEndpoint(with_id=False))
    context.answer = context.first


@then("the order ran once, and its caller gets the answer of that run")
def check_answer_of_run(context):
    assert context.runs["request-2"] == 1, context.runs
    assert (context.answer.status, context.answer.body) == (200, BODY), context.answer


@then("the order ran once, and its caller is not told that it was not run")
def check_unknown(context):
    assert context.runs["request-2"] == 1, context.runs
    assert context.answer.status == 504, context.answer
    assert context.answer.header("pulley-outcome") == "unknown", context.answer


@then("its caller is told that it was not run")
def check_not_run(context):
    assert context.answer.status == 503, context.answer
    assert context.answer.header("pulley-outcome") == "not-run", context.answer
