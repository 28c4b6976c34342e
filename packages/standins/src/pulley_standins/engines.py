"""A model engine: OpenAI chat completions, continuous batching, a prefix cache."""

import asyncio
import json
import logging
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from pydantic import Field, ValidationError

from pulley_base import split_address
from pulley_base.settings import settings_command
from pulley_http import Request, Response, find_header, read_all, start_server

from .batches import Batch, run_batch
from .caches import TOKENS_PER_BLOCK, PrefixCache, cache_blocks, find_cached_blocks
from .completions import CompletionRequest, complete, open_completion, stream_events
from .executions import Executions, count_execution
from .orders import OrderBook, accept_order, json_response
from .processes import StandinSettings, run_process
from .reports import Report, render_report, run_sampler
from .states import describe_state

EVENT_STREAM = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]
PLAIN_TEXT = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]

logger = logging.getLogger(__name__)


class EngineSettings(StandinSettings):
    """Settings of an engine stand-in."""

    slots: int = Field(16, ge=1, description="requests that run at once")
    prefill_tokens_per_s: float = Field(
        20_000, gt=0, description="uncached prompt tokens processed per second"
    )
    decode_ms: float = Field(20, gt=0, description="milliseconds per generated token")
    cache_tokens: int = Field(
        200_000, ge=0, description="size of the prefix cache in tokens"
    )
    report_lag_ms: int = Field(
        500, ge=0, description="age of the load report in milliseconds"
    )
    poison: str = Field("", description="text in a prompt that crashes the engine")
    model: str = Field("standin", description="name listed under /v1/models")
    fencing: bool = Field(
        False, description="refuse orders with a stale fencing number"
    )


@dataclass(slots=True, eq=False)
class Engine:
    """A running engine; ``tasks`` run its batch and sample its metrics."""

    batch: Batch
    report: Report
    orders: OrderBook
    model: str = "standin"
    address: str = ""
    executions: Executions = field(default_factory=Executions)
    tasks: list[asyncio.Task] = field(default_factory=list)


def build_engine(settings: EngineSettings) -> Engine:
    """Build an engine whose tasks are not yet running."""
    cache = PrefixCache(settings.cache_tokens // TOKENS_PER_BLOCK)
    batch = Batch(
        cache,
        settings.slots,
        settings.prefill_tokens_per_s,
        settings.decode_ms,
        settings.poison,
    )
    batch.responsive.set()
    report = Report(batch, settings.report_lag_ms)
    return Engine(batch, report, OrderBook(settings.fencing), settings.model)


async def start_engine(settings: EngineSettings) -> str:
    """Start an engine and return its address, IP:port."""
    engine = build_engine(settings)
    loop = asyncio.get_running_loop()
    engine.tasks.append(loop.create_task(run_batch(engine.batch)))
    engine.tasks.append(loop.create_task(run_sampler(engine.report)))
    host, port = split_address(settings.listen)
    server = await start_server(
        lambda request: handle_request(engine, request), host, port
    )
    engine.address = server.address
    return server.address


async def handle_request(engine: Engine, request: Request) -> Response:
    """Answer one request.

    While the engine is silent, only the ``/standin/`` paths are answered; other
    requests wait until it responds again.
    """
    if request.path == "/standin/silent":
        return set_silence(engine, request)
    if request.path == "/standin/state":
        return json_response(200, describe_state(engine.batch))
    await engine.batch.responsive.wait()
    route = ROUTES.get((request.method, strip_path_prefix(request.path)))
    if route is None:
        return json_response(404, {"error": {"message": "no such path"}})
    return await route(engine, request)


def strip_path_prefix(path: str) -> str:
    """Return a path without the prefix before ``/v1/``, if it contains that.

    Rules distinguish calls to one engine by such prefixes of its base URL.

    >>> strip_path_prefix("/batch/v1/models"), strip_path_prefix("/orders")
    ('/v1/models', '/orders')
    """
    return path[max(0, path.find("/v1/")) :]


def set_silence(engine: Engine, request: Request) -> Response:
    """Make the engine silent, or responsive again on DELETE."""
    if request.method == "DELETE":
        engine.batch.responsive.set()
    else:
        engine.batch.responsive.clear()
    return json_response(200, {"silent": not engine.batch.responsive.is_set()})


def find_chat_name(request: Request) -> str:
    """Return the chat that a request's headers name, or an empty string.

    The digest header of the fleet takes precedence over the caller's header.
    """
    for header in (b"pulley-chat-digest", b"pulley-chat"):
        value = find_header(request.headers, header)
        if value:
            return value.decode("latin-1")
    return ""


async def answer_completion(engine: Engine, request: Request) -> Response:
    """Answer a chat completion, as a stream of events or as one document."""
    body = await read_all(request.body)
    try:
        completion_request = CompletionRequest.model_validate_json(body)
    except ValidationError as error:
        return json_response(400, {"error": {"message": str(error)}})
    count_execution(engine.executions, request.headers, body)
    completion = open_completion(completion_request, find_chat_name(request))
    if completion_request.stream:
        events = stream_events(engine.batch, completion)
        return Response(200, [*EVENT_STREAM, engine_header(engine)], events)
    document = await complete(engine.batch, completion)
    headers = [(b"content-type", b"application/json"), engine_header(engine)]
    return Response(200, headers, document)


def engine_header(engine: Engine) -> tuple[bytes, bytes]:
    """Return the header that names the engine that answered."""
    return b"standin-engine", engine.address.encode()


async def answer_metrics(engine: Engine, request: Request) -> Response:
    """Return the load report, delayed by its lag."""
    return Response(200, PLAIN_TEXT, render_report(engine.report))


async def answer_health(engine: Engine, request: Request) -> Response:
    """Answer the health check with status 200."""
    return Response(200, PLAIN_TEXT, b"ok\n")


async def answer_models(engine: Engine, request: Request) -> Response:
    """Return a list with the engine's one model."""
    model = {"id": engine.model, "object": "model", "owned_by": "standin"}
    return json_response(200, {"object": "list", "data": [model]})


async def answer_executions(engine: Engine, request: Request) -> Response:
    """Return the number of executions of each key."""
    return json_response(200, engine.executions.counts)


async def answer_order(engine: Engine, request: Request) -> Response:
    """Accept an order, or reject it if its fencing number is stale."""
    return accept_order(engine.orders, request.headers, await read_all(request.body))


async def answer_orders(engine: Engine, request: Request) -> Response:
    """Return the orders accepted so far."""
    return json_response(200, engine.orders.accepted)


async def export_blocks(engine: Engine, request: Request) -> Response:
    """Return the cached blocks of the chat ``?chat=``; 404 if there are none."""
    query = parse_qs(request.target.partition("?")[2])
    chat = query.get("chat", [""])[0]
    blocks = find_cached_blocks(engine.batch.cache, chat)
    if not blocks:
        return json_response(404, {"error": {"message": "nothing cached"}})
    hex_blocks = [block.hex() for block in blocks]
    return json_response(200, {"chat": chat, "blocks": hex_blocks})


async def import_blocks(engine: Engine, request: Request) -> Response:
    """Add blocks that another engine exported to the cache."""
    document = json.loads(await read_all(request.body))
    blocks = [bytes.fromhex(block) for block in document["blocks"]]
    cache_blocks(engine.batch.cache, document["chat"], blocks)
    return json_response(200, {"blocks": len(blocks)})


ROUTES = {
    ("POST", "/v1/chat/completions"): answer_completion,
    ("GET", "/v1/models"): answer_models,
    ("GET", "/metrics"): answer_metrics,
    ("GET", "/health"): answer_health,
    ("GET", "/executions"): answer_executions,
    ("POST", "/orders"): answer_order,
    ("GET", "/orders"): answer_orders,
    ("GET", "/kv/export"): export_blocks,
    ("POST", "/kv/import"): import_blocks,
}


def run_engine(settings: EngineSettings) -> int:
    """Run an engine until SIGTERM or SIGINT and return the exit code."""
    return run_process(settings, start_engine)


command = settings_command(EngineSettings, run_engine, "Run a model engine stand-in.")
