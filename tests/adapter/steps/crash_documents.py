"""Steps that write and read the routers' crash reports."""

import asyncio

from behave import then, when
from pulley_platform_standins.stores import start_store

from pulley_adapter.documents import decode_entry
from pulley_adapter.names import CRASH_PREFIX
from pulley_adapter.stores import connect_store
from pulley_base import ProtocolError
from pulley_direct.crashes.crash_keys import MAX_DIGEST_LENGTH, MAX_KEY_PARTS
from pulley_direct.peers.crash_documents import MAX_VALUE_BYTES, encode_reports
from pulley_direct.state.crash_log import (
    SHARED_CLEARANCE_SCORE,
    CrashLog,
    record_own_clearance,
    record_own_loss,
)
from pulley_direct.state.models import CrashReports
from pulley_http import Client, close_client
from pulley_policy.losses import Clearance, LostRequest, Suspect

REPORTS = CrashReports(
    "router-1.1700000000000",
    (
        LostRequest(
            "a/1",
            (Suspect("model/part/aa", 1), Suspect("model/part/bé", 3, n_probes=2)),
            team="team-1",
            age_ms=70_000,
        ),
        LostRequest("b/2", (Suspect("model/request/00", 2),)),
        LostRequest("c/3", (Suspect("model/request/01", 2),), parts_cleared=True),
    ),
    (Clearance("model/part/aa", ("a/1", "b/2")),),
)
TTL_MS = 60_000


@when("a router writes crash reports under a lease and another reads the store")
def write_and_read(context):
    async def run():
        store = await start_store()
        client = Client()
        try:
            calls = connect_store(store.address, client)
            granted = await calls.grant_lease(TTL_MS)
            await calls.report_crashes(REPORTS, granted.lease)
            return await calls.read_all()
        finally:
            close_client(client)
            store.server.listener.close()

    context.entries = asyncio.run(run()).entries


@then("it reads the same reports")
def check_reports(context):
    assert context.entries == (REPORTS,), context.entries


@when("a router has lost and cleared {n:d} requests with the longest keys")
def fill_reports(context, n):
    crash_log = CrashLog()
    parts = "\xe9" * MAX_DIGEST_LENGTH
    crashes = tuple(f"endpoint-{number}/1700000000000" for number in range(n))
    for number, crash in enumerate(crashes):
        wide = [Suspect(f"{parts}{one}", 1) for one in range(MAX_KEY_PARTS)]
        lost = LostRequest(crash, (*wide, Suspect(f"request-{number}", 1)))
        record_own_loss(crash_log, lost, number)
        clearance = Clearance(f"{parts}{number}", crashes)
        record_own_clearance(crash_log, clearance, SHARED_CLEARANCE_SCORE, number)
    context.reports = CrashReports(
        "router-1.1", tuple(crash_log.own_lost), tuple(crash_log.own_cleared)
    )


@then("its reports are small enough to be read")
def check_largest(context):
    data = encode_reports(context.reports)
    assert len(data) <= MAX_VALUE_BYTES, len(data)
    found = decode_entry(CRASH_PREFIX + "router-1.1", data)
    assert found == context.reports


@then("the crash reports {value} are rejected")
def check_rejected(context, value):
    for data in (value.encode(), value.encode() + b" " * MAX_VALUE_BYTES):
        try:
            entry = decode_entry(CRASH_PREFIX + "router-1.1", data)
        except ProtocolError as error:
            assert error.step == "decode", error
        else:
            raise AssertionError(f"accepted as {entry}")
