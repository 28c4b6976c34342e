"""Steps for the load skew between engines."""

import asyncio
import json

from behave import given, then, when
from skews import EngineLoad, Sample, Sampler, take_sample, worst_excess

from pulley_http import Response, start_server

CLOSED_ADDRESS = "127.0.0.1:1"


@given("engines with loads {loads} whose largest requests are {largest}")
def set_engine_loads(context, loads, largest):
    pairs = zip(loads.split(), largest.split(), strict=True)
    loads = {
        f"engine-{index}": EngineLoad(float(load), float(largest_tokens))
        for index, (load, largest_tokens) in enumerate(pairs)
    }
    context.samples = [Sample(0, loads)]


@then("the highest load over the bound at multiple {multiple:g} is {worst:g}")
def check_worst_excess(context, multiple, worst):
    found = worst_excess(context.samples, multiple)
    assert abs(found - worst) < 1e-3, found


@given("a server that reports load {n_tokens:d} and largest request {n_largest:d}")
def set_server_load(context, n_tokens, n_largest):
    context.state = json.dumps({"n_tokens": n_tokens, "n_largest": n_largest}).encode()


@when("a sampler reads that server and an address without a listener")
def sample_both_addresses(context):
    async def answer(request):
        return Response(200, [], context.state)

    async def run():
        server = await start_server(answer, "127.0.0.1", 0)
        context.address = server.address
        context.sampler = Sampler(lambda: [server.address, CLOSED_ADDRESS])
        await take_sample(context.sampler)
        server.listener.close()

    asyncio.run(run())


@then(
    "the sample contains only that engine with load {n_tokens:d} and largest "
    "request {n_largest:d}"
)
def check_sample(context, n_tokens, n_largest):
    (sample,) = context.sampler.samples
    assert sample.loads == {context.address: EngineLoad(n_tokens, n_largest)}
